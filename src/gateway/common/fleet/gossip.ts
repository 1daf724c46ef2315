/**
 * Decides what one gateway sends to which others. State that all need within
 * a second travels as rumors, which every gateway passes on once to a fixed
 * number of members; what was lost, and who is a member, spreads by the pages
 * that probes and their replies carry. Loads of engines go to all members when
 * they change, at a bounded rate. Performs no I/O; stepped by the caller's clock.
 */
import * as instanceRegistry from '../instance_registry';
import * as failureDetector from './failure_detector';
import * as fleetMessage from './fleet_message';
import * as memberTable from './member_table';
import * as peerDigest from './peer_digest';
import * as rumorFilter from './rumor_filter';

/** Interval between probes, in milliseconds. */
export const GOSSIP_INTERVAL_MILLISECONDS = 500;
/** Members to which a gateway passes on a change; with repair by pages four reach all of 1,000. */
const CHANGE_PARTNERS = 4;
/** The same for digests that are repeated anyway; three reach 94 in 100. */
const BEACON_PARTNERS = 3;
/** Pages that a gateway answers in one interval; after a start of the whole fleet its seeds are asked by all. */
const MAX_REPLIES_PER_INTERVAL = 64;
/** Rumors that a gateway passes on in a second; those beyond it reach the others by pages. */
const MAX_RUMORS_PER_SECOND = 120;
/** Share of that rate that is kept for rumors with changes. */
const RESERVED_SHARE = 0.5;

/** A message and the IPs to which it is sent. */
export interface Outgoing {
  readonly message: fleetMessage.FleetMessage;
  readonly ips: readonly string[];
}

/** What a received message leads to. */
export interface Received {
  /** Whether the message was not received before. */
  readonly isNew: boolean;
  readonly outgoing: readonly Outgoing[];
}

const KNOWN: Received = {isNew: false, outgoing: []};

/** Sender and receiver of the messages of one gateway. */
export class Gossip {
  private readonly detector: failureDetector.FailureDetector;
  private readonly filter = new rumorFilter.RumorFilter();
  /** Whether the last gateway that sent a page knew as many members. */
  private isComplete = false;
  /** IP up to which the members that others know were fetched. */
  private cursor = '';
  private rumorSequence = 0;
  private repliesLeft = MAX_REPLIES_PER_INTERVAL;
  private rumorsLeft = MAX_RUMORS_PER_SECOND;

  constructor(
    private readonly table: memberTable.MemberTable,
    /** Writes the digest of this gateway as of now. */
    private readonly digest: (now: number) => peerDigest.PeerDigest,
    /** Distinguishes this process from earlier ones at the same IP. */
    private readonly process: number,
  ) {
    this.detector = new failureDetector.FailureDetector(table);
  }

  /** Messages of one interval. */
  step(now: number): Outgoing[] {
    this.table.expire(now);
    this.repliesLeft = MAX_REPLIES_PER_INTERVAL;
    this.rumorsLeft = Math.min(
      MAX_RUMORS_PER_SECOND,
      this.rumorsLeft +
        (MAX_RUMORS_PER_SECOND * GOSSIP_INTERVAL_MILLISECONDS) / 1000,
    );
    const {direct, indirect} = this.detector.step(now);
    const ips = this.table.legacyMembers().map(each => each.ip);
    // Reaches gateways that have just started or were cut off.
    const silent = this.table.silentAddress();
    for (const ip of [direct, silent]) {
      if (ip !== undefined) {
        ips.push(ip);
      }
    }
    const cursor = this.isComplete ? undefined : this.cursor;
    const outgoing = [this.page(ips, now, memberTable.PAGE_SIZE, {cursor})];
    if (indirect !== undefined) {
      const {target, helpers} = indirect;
      outgoing.push(this.page(helpers, now, 0, {probe: target, isReply: true}));
    }
    return outgoing;
  }

  /** Sends the digest, and a change read from the source, to all members by way of a few. */
  spread(
    now: number,
    isUrgent: boolean,
    change?: instanceRegistry.RegistryChange,
  ): Outgoing[] {
    const rumor: fleetMessage.Rumor = {
      origin: this.table.own.ip,
      sequence: ++this.rumorSequence,
      process: this.process,
      isUrgent,
    };
    const message: fleetMessage.FleetMessage = {
      digest: this.digest(now),
      change,
      fleet: {incarnation: this.table.incarnation, rumor},
    };
    const partners = this.table.partners(partnerCount(rumor));
    const ips = [...partners, ...this.table.legacyMembers()];
    return [{message, ips: ips.map(each => each.ip)}];
  }

  /** Sends the digest to all members directly; without evacuated data centres, which rumors and pages carry, since this is the most frequent message. */
  broadcast(now: number): Outgoing[] {
    const message: fleetMessage.FleetMessage = {
      digest: {...this.digest(now), evacuated: undefined},
      fleet: {incarnation: this.table.incarnation},
    };
    return [{message, ips: this.table.liveAddresses()}];
  }

  /** Records a message that arrived from an IP. */
  receive(
    message: fleetMessage.FleetMessage,
    senderIp: string,
    now: number,
  ): Received {
    const {digest, fleet} = message;
    const rumor = fleet?.rumor;
    const origin = rumor?.origin ?? senderIp;
    const isOwn = origin === this.table.own.ip;
    if (isOwn || (rumor !== undefined && !this.filter.add(rumor))) {
      return KNOWN;
    }
    const outgoing =
      rumor === undefined
        ? this.answer(origin, fleet, now)
        : this.passOn(rumor, message, senderIp);
    this.table.addDigest(origin, digest, fleet?.incarnation, now);
    fleet?.members?.forEach(each => this.table.addRelayed(each, now));
    this.compare(fleet);
    digest.peers.forEach(ip => this.table.addIp(ip, now));
    return {isNew: true, outgoing};
  }

  /** Notes whether the sender of a page knows as many members, and up to where its answer went. */
  private compare(fleet: fleetMessage.FleetPart | undefined): void {
    if (fleet?.liveCount === undefined || fleet.members === undefined) {
      return;
    }
    this.isComplete = fleet.liveCount === this.table.live().length;
    if (fleet.cursor !== undefined && fleet.isReply === true) {
      const isLast = fleet.members.length < memberTable.MAX_PAGE_SIZE;
      const last = fleet.members[fleet.members.length - 1];
      this.cursor = isLast ? '' : last[0];
    }
  }

  /** Replies to a page, and probes a member on behalf of the sender. */
  private answer(
    sender: string,
    fleet: fleetMessage.FleetPart | undefined,
    now: number,
  ): Outgoing[] {
    if (fleet === undefined || this.repliesLeft <= 0) {
      return [];
    }
    this.repliesLeft--;
    if (fleet.probe !== undefined) {
      const {probe} = fleet;
      return [
        this.page([probe], now, memberTable.PAGE_SIZE, {onBehalfOf: sender}),
      ];
    }
    if (fleet.members === undefined || fleet.isReply === true) {
      return [];
    }
    const known = this.table.get(sender);
    const isUnknown = known === undefined || known.lastHeardAt === -Infinity;
    const size = isUnknown ? memberTable.MAX_PAGE_SIZE : memberTable.PAGE_SIZE;
    const {onBehalfOf} = fleet;
    const ips = onBehalfOf === undefined ? [sender] : [sender, onBehalfOf];
    const {cursor} = fleet;
    const part = {isReply: true, cursor};
    const reply =
      cursor === undefined
        ? this.page(ips, now, size, part)
        : this.message(ips, this.table.pageAfter(cursor, now), now, part);
    // Lets a gateway that others suspect, or know from before a restart, contradict.
    const isOutdated =
      known !== undefined &&
      known.incarnation !== undefined &&
      (known.incarnation > fleet.incarnation ||
        (known.incarnation === fleet.incarnation &&
          known.state > memberTable.MemberState.Live));
    return [
      isOutdated ? withRecord(reply, this.table.recordOf(known, now)) : reply,
    ];
  }

  private passOn(
    rumor: fleetMessage.Rumor,
    message: fleetMessage.FleetMessage,
    senderIp: string,
  ): Outgoing[] {
    const reserved = rumor.isUrgent
      ? 0
      : MAX_RUMORS_PER_SECOND * RESERVED_SHARE;
    if (this.rumorsLeft <= reserved) {
      return [];
    }
    this.rumorsLeft--;
    const ips = this.table
      .partners(partnerCount(rumor))
      .map(each => each.ip)
      .filter(ip => ip !== senderIp && ip !== rumor.origin);
    return [{message, ips}];
  }

  private page(
    ips: readonly string[],
    now: number,
    size: number,
    part: Partial<fleetMessage.FleetPart>,
  ): Outgoing {
    return this.message(ips, this.table.page(now, size), now, part);
  }

  private message(
    ips: readonly string[],
    members: readonly memberTable.RelayedMember[],
    now: number,
    part: Partial<fleetMessage.FleetPart>,
  ): Outgoing {
    const fleet: fleetMessage.FleetPart = {
      ...part,
      incarnation: this.table.incarnation,
      liveCount: this.table.live().length,
      members,
    };
    return {message: {digest: this.digest(now), fleet}, ips};
  }
}

function partnerCount(rumor: fleetMessage.Rumor): number {
  return rumor.isUrgent ? CHANGE_PARTNERS : BEACON_PARTNERS;
}

function withRecord(
  {message, ips}: Outgoing,
  record: memberTable.RelayedMember,
): Outgoing {
  const fleet: fleetMessage.FleetPart = {
    ...message.fleet!,
    members: [record, ...(message.fleet?.members ?? []).slice(1)],
  };
  return {message: {...message, fleet}, ips};
}
