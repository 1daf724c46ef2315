/**
 * Gateways known to this one. A gateway counts as live until a probe of it
 * fails and it does not contradict the suspicion. Only changes are passed on,
 * on pages of bounded size, so that the cost of a gateway does not depend on
 * the number of gateways.
 */
import * as shutdownPolicy from '../shutdown_policy';
import * as peerDigest from './peer_digest';

/** Bound of the table; gateways beyond it are not added. */
export const MAX_MEMBERS = 2_048;
/** Records on one page. */
export const PAGE_SIZE = 12;
/** Records on the largest page. */
export const MAX_PAGE_SIZE = 48;
/** Share of a page for changes. */
const NEWS_SHARE = 0.67;
/** Changes beyond which a page grows. */
const NEWS_PER_PAGE = PAGE_SIZE * NEWS_SHARE;
/** Time that a suspected member has to contradict, in milliseconds: news reaches it and its answer all others. */
const SUSPICION_MILLISECONDS = 3_000;
/** Time without a digest after which a gateway that answers no probes is considered gone, in milliseconds. */
const LEGACY_SILENCE_MILLISECONDS = 3_000;
/** Time after which a member that is gone is removed, in milliseconds; longer than the window of shared budgets. */
const REMOVAL_MILLISECONDS = 60_000;
/** Random draws for each partner before the whole table is searched. */
const DRAWS_PER_PARTNER = 4;

/** What is believed of a member. */
export enum MemberState {
  /** Only its address is known. */
  Unheard = 0,
  Live = 1,
  Suspect = 2,
  Gone = 3,
}

/** What gateways tell each other about a third one: IP, name, incarnation, state, milliseconds until it exits or -1, 1 if its link is wide. */
export type RelayedMember = readonly [
  string,
  string,
  number,
  MemberState,
  number,
  number,
];

/** Identity of a gateway. */
export interface MemberIdentity {
  readonly ip: string;
  readonly name: string;
  /** Whether the gateway has a wide link and therefore watches for others first. */
  readonly isWide: boolean;
}

/** A known gateway. */
export interface Member {
  readonly ip: string;
  /** Name; empty until the gateway was heard of in a message. */
  name: string;
  isWide: boolean;
  state: MemberState;
  /** Rises when the gateway contradicts a suspicion; undefined for a gateway of an older build, which answers no probes. */
  incarnation: number | undefined;
  /** Monotonic milliseconds of the last message that the gateway wrote; -Infinity before the first. */
  lastHeardAt: number;
  /** Monotonic milliseconds of the last change of its state. */
  changedAt: number;
  /** Monotonic milliseconds at which the member exits; undefined unless it is shutting down. */
  endsAt: number | undefined;
  /** Number of pages that still give this member precedence. */
  newsLeft: number;
  /** Last digest and the time at which it arrived. */
  entry: peerDigest.PeerEntry | undefined;
}

/** Members by IP. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  /** The same members in no order, from which partners are drawn. */
  private pool: Member[] = [];
  private ownIncarnation = 0;

  constructor(
    readonly own: MemberIdentity,
    private readonly seeds: readonly string[],
    private readonly random: () => number = Math.random,
  ) {
    seeds.forEach(ip => this.addIp(ip, 0));
  }

  /** Incarnation of this gateway. */
  get incarnation(): number {
    return this.ownIncarnation;
  }

  get(ip: string): Member | undefined {
    return this.members.get(ip);
  }

  /** Adds a gateway of which only the address is known. */
  addIp(ip: string, now = performance.now()): Member | undefined {
    const existing = this.members.get(ip);
    const isFull = this.members.size >= MAX_MEMBERS;
    if (ip === this.own.ip || existing !== undefined || isFull) {
      return existing;
    }
    const member: Member = {
      ip,
      name: '',
      isWide: false,
      state: MemberState.Unheard,
      incarnation: undefined,
      lastHeardAt: -Infinity,
      changedAt: now,
      endsAt: undefined,
      newsLeft: 0,
      entry: undefined,
    };
    this.members.set(ip, member);
    this.pool.push(member);
    return member;
  }

  /** Records a digest that the gateway itself wrote, which proves that it lives. */
  addDigest(
    ip: string,
    digest: peerDigest.PeerDigest,
    incarnation: number | undefined,
    now: number,
  ): void {
    const member = this.addIp(ip, now);
    if (member === undefined) {
      return;
    }
    const {endsInMilliseconds: endsIn} = digest;
    member.name = digest.name;
    member.isWide = digest.isWide === true;
    // A restarted gateway learns its former incarnation only when it is suspected.
    member.incarnation =
      incarnation === undefined
        ? undefined
        : Math.max(incarnation, member.incarnation ?? 0);
    member.entry = {digest, receivedAt: now};
    member.lastHeardAt = now;
    this.update(
      member,
      MemberState.Live,
      endsIn === undefined ? undefined : now + endsIn,
      now,
    );
  }

  /** Records what a peer relayed about a third gateway. */
  addRelayed(relayed: RelayedMember, now: number): void {
    const [ip, name, incarnation, state, endsIn, isWide] = relayed;
    if (ip === this.own.ip) {
      this.contradict(incarnation, state);
      return;
    }
    const isLost = state === MemberState.Gone || state === MemberState.Suspect;
    const known = this.members.get(ip);
    if (known === undefined && isLost) {
      return;
    }
    const member = known ?? this.addIp(ip, now);
    if (member === undefined) {
      return;
    }
    const knownIncarnation = member.incarnation ?? -1;
    const isNewer =
      incarnation > knownIncarnation ||
      (incarnation === knownIncarnation && state > member.state);
    if (!isNewer) {
      return;
    }
    member.name = name;
    member.incarnation = incarnation;
    member.isWide = isWide === 1;
    this.update(member, state, endsIn < 0 ? undefined : now + endsIn, now);
  }

  /** Suspects a member that answered no probe. */
  suspect(ip: string, now: number): void {
    const member = this.members.get(ip);
    if (member !== undefined && member.state === MemberState.Live) {
      this.update(member, MemberState.Suspect, member.endsAt, now);
    }
  }

  /** What this gateway tells others about a member. */
  recordOf(member: Member, now: number): RelayedMember {
    const endsIn =
      member.endsAt === undefined
        ? -1
        : Math.max(0, Math.round(member.endsAt - now));
    return [
      member.ip,
      member.name,
      member.incarnation ?? 0,
      member.state,
      endsIn,
      member.isWide ? 1 : 0,
    ];
  }

  /** Records to pass on: changes first, then live members drawn at random. A page grows while there are many changes, as after a start of the whole fleet. */
  page(now: number, minSize = PAGE_SIZE): RelayedMember[] {
    const changed = this.pool.filter(each => each.newsLeft > 0);
    const size =
      minSize > 0 && changed.length > NEWS_PER_PAGE ? MAX_PAGE_SIZE : minSize;
    const news = this.draw(changed, Math.ceil(size * NEWS_SHARE));
    news.forEach(each => each.newsLeft--);
    const members = new Set([...news, ...this.partners(size)]);
    return [...members].slice(0, size).map(each => this.recordOf(each, now));
  }

  /** Passes on no more what changed so far. */
  forgetNews(): void {
    this.pool.forEach(each => (each.newsLeft = 0));
  }

  /** Records of the live members that follow an IP, in the order of IPs. */
  pageAfter(ip: string, now: number): RelayedMember[] {
    return this.pool
      .filter(
        each =>
          each.ip > ip &&
          each.state === MemberState.Live &&
          each.incarnation !== undefined,
      )
      .sort((left, right) => (left.ip < right.ip ? -1 : 1))
      .slice(0, MAX_PAGE_SIZE)
      .map(each => this.recordOf(each, now));
  }

  /** Live members that answer probes, drawn at random. */
  partners(count: number): Member[] {
    const isPartner = (member: Member) =>
      member.state === MemberState.Live && member.incarnation !== undefined;
    const drawn = new Set<Member>();
    // Costs the same in a large table, most of whose members are live.
    for (let trial = 0; trial < count * DRAWS_PER_PARTNER; trial++) {
      const member = this.pool[Math.floor(this.random() * this.pool.length)];
      if (drawn.size < count && member !== undefined && isPartner(member)) {
        drawn.add(member);
      }
    }
    return drawn.size === count
      ? [...drawn]
      : this.draw(this.pool.filter(isPartner), count);
  }

  /** Live gateways of an older build, which answer no probes. */
  legacyMembers(): Member[] {
    return this.live().filter(each => each.incarnation === undefined);
  }

  /** A random address that may have a gateway from which nothing is heard; undefined when there is none. */
  silentAddress(): string | undefined {
    const silent = this.pool.filter(
      each =>
        each.state === MemberState.Unheard || each.state === MemberState.Gone,
    );
    return this.draw(silent, 1)[0]?.ip;
  }

  /** Members that are not considered gone. */
  live(): Member[] {
    return this.pool.filter(
      each =>
        each.state === MemberState.Live || each.state === MemberState.Suspect,
    );
  }

  /** Monotonic milliseconds of the last message of any member; -Infinity before the first. */
  lastHeardAt(): number {
    return this.pool.reduce(
      (latest, each) => Math.max(latest, each.lastHeardAt),
      -Infinity,
    );
  }

  /** All members, also those that have been gone for up to a minute. */
  all(): readonly Member[] {
    return this.pool;
  }

  /** Addresses of all live members. */
  liveAddresses(): string[] {
    return this.live().map(each => each.ip);
  }

  /** Digests that arrived recently. */
  recentEntries(
    now: number,
    maxAgeMilliseconds: number,
  ): peerDigest.PeerEntry[] {
    const entries: peerDigest.PeerEntry[] = [];
    for (const {entry} of this.pool) {
      if (entry !== undefined && now - entry.receivedAt <= maxAgeMilliseconds) {
        entries.push(entry);
      }
    }
    return entries;
  }

  /** Returns how many members accept new callers, and when the first of the others exits. */
  availability(now: number): shutdownPolicy.PeerAvailability {
    let stayingCount = 0;
    let firstEndMilliseconds = Infinity;
    for (const {endsAt} of this.live()) {
      if (endsAt === undefined) {
        stayingCount++;
      } else {
        const endsIn = Math.max(0, endsAt - now);
        firstEndMilliseconds = Math.min(firstEndMilliseconds, endsIn);
      }
    }
    return {stayingCount, firstEndMilliseconds};
  }

  /** Number of gateways that share a budget, including those gone, which may still be spending their share. */
  gatewayCount(): number {
    return this.members.size + 1;
  }

  /** Ends suspicions that were not contradicted, and removes members gone for long; seeds are kept. */
  expire(now: number): void {
    for (const member of this.pool) {
      const isUncontradicted =
        member.state === MemberState.Suspect &&
        now - member.changedAt > SUSPICION_MILLISECONDS;
      const isSilent =
        member.state === MemberState.Live &&
        member.incarnation === undefined &&
        now - member.lastHeardAt > LEGACY_SILENCE_MILLISECONDS;
      if (isUncontradicted || isSilent) {
        member.state = MemberState.Gone;
        member.changedAt = now;
      }
    }
    const isRemovable = (member: Member) =>
      (member.state === MemberState.Gone ||
        member.state === MemberState.Unheard) &&
      now - member.changedAt > REMOVAL_MILLISECONDS &&
      !this.seeds.includes(member.ip);
    if (this.pool.some(isRemovable)) {
      this.pool = this.pool.filter(each => !isRemovable(each));
      this.members.clear();
      this.pool.forEach(each => this.members.set(each.ip, each));
    }
  }

  /** Raises the own incarnation above that of an earlier process, or of a suspicion. */
  private contradict(incarnation: number, state: MemberState): void {
    const isSuspicion = state !== MemberState.Live;
    const isAbove = incarnation > this.ownIncarnation;
    if (isAbove || (isSuspicion && incarnation === this.ownIncarnation)) {
      this.ownIncarnation = incarnation + 1;
    }
  }

  private update(
    member: Member,
    state: MemberState,
    endsAt: number | undefined,
    now: number,
  ): void {
    const isLeavingChanged =
      (endsAt === undefined) !== (member.endsAt === undefined);
    const isNews = state !== member.state || isLeavingChanged;
    member.endsAt = endsAt;
    if (!isNews) {
      return;
    }
    member.state = state;
    member.changedAt = now;
    // Enough repetitions for news to reach all members with high probability.
    const repetitions = Math.ceil(3 * Math.log2(this.members.size + 2));
    member.newsLeft = member.incarnation === undefined ? 0 : repetitions;
  }

  /** Draws members without replacement. */
  private draw(from: readonly Member[], count: number): Member[] {
    const pool = [...from];
    const drawn: Member[] = [];
    while (drawn.length < count && pool.length > 0) {
      const index = Math.floor(this.random() * pool.length);
      drawn.push(pool[index]);
      pool[index] = pool[pool.length - 1];
      pool.pop();
    }
    return drawn;
  }
}
