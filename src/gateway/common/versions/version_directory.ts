/**
 * Distributed directory of the software versions that began streams. A gateway
 * announces each stream to two others, and looks up a stream that it does not
 * know when a caller resumes it. The holders of an entry follow from the hash of
 * the attempt id, so the cost of a stream does not depend on the number of
 * gateways. Meant for up to tens of resumable streams a second and gateway.
 */
import * as rxjs from 'rxjs';
import * as directMembers from '../fleet/direct_members';
import * as rateBucket from '../rate_bucket';
import * as streamVersions from './stream_versions';

/** Gateways that hold an entry besides the one that began the stream. */
const HOLDER_COUNT = 2;
/** Gateways that a lookup queries. One more than hold an entry, since the gateway that began the stream may still count as a member after its loss. */
const QUERIED_COUNT = 3;
/** Streams in one message. */
export const MAX_STREAMS_PER_MESSAGE = 16;
/** Maximum rate of announcements, in messages per second; beyond it, several streams share a message. */
const ANNOUNCEMENTS_PER_SECOND = 80;
/** Maximum number of queued announcements; further streams are not announced. */
const MAX_WAITING = 8_192;
/** Maximum number of streams queued while no other gateway is known; the oldest are dropped first. */
const MAX_UNASSIGNED = 1_024;
/** Interval between steps while announcements are queued, in milliseconds. */
const STEP_MILLISECONDS = 50;
/** Interval between steps while no other gateway is known, in milliseconds. */
const UNASSIGNED_STEP_MILLISECONDS = 500;
/** Maximum rate of lookups, in streams per second; beyond it, a lookup ends without an answer. */
const LOOKUPS_PER_SECOND = 50;
/** Longest wait for answers, in milliseconds; longer than a round trip between regions. */
export const ANSWER_TIMEOUT_MILLISECONDS = 250;

/** A stream: id of the attempt that brought its first event, and the version that began it. */
export type BegunStream = readonly [string, string];

/** Asks for the version that began a stream. */
export interface VersionQuery {
  readonly sequence: number;
  readonly attemptId: string;
}

/** The answer to a query. */
export interface VersionAnswer {
  readonly sequence: number;
  /** Null if the stream is not known. */
  readonly softwareVersion: string | null;
}

/** Messages of the directory; exactly one part is set. */
export interface DirectoryMessage {
  readonly begunStreams?: readonly BegunStream[];
  readonly versionQuery?: VersionQuery;
  readonly versionAnswer?: VersionAnswer;
}

/** Result of looking up a stream at other gateways. */
export interface LookupResult {
  /** Undefined if none of those that answered knows the stream. */
  readonly softwareVersion: string | undefined;
  /** Number of gateways queried, and of those that have answered. */
  readonly queried: number;
  readonly answered: number;
}

interface PendingQuery {
  readonly awaited: Set<string>;
  readonly queried: number;
  readonly found: rxjs.Subject<LookupResult>;
}

/** The part of the directory that one gateway holds. */
export class VersionDirectory {
  private readonly unassigned: BegunStream[] = [];
  /** Queued announcements by the IP of the holder. */
  private readonly waiting = new Map<string, BegunStream[]>();
  private waitingCount = 0;
  private readonly pending = new Map<number, PendingQuery>();
  private readonly announcements: rateBucket.RateBucket;
  private readonly lookups: rateBucket.RateBucket;
  private lastSequence = 0;

  constructor(
    private readonly streams: streamVersions.StreamVersions,
    private readonly members: directMembers.DirectMembers,
    private readonly send: (ip: string, message: DirectoryMessage) => void,
    now: number,
  ) {
    this.announcements = new rateBucket.RateBucket(
      now,
      ANNOUNCEMENTS_PER_SECOND,
    );
    this.lookups = new rateBucket.RateBucket(now, LOOKUPS_PER_SECOND);
  }

  /** Announces a stream to its holders; returns false if the queue is full. */
  announce(stream: BegunStream, now: number): boolean {
    if (this.waitingCount >= MAX_WAITING) {
      return false;
    }
    this.unassigned.push(stream);
    if (this.unassigned.length > MAX_UNASSIGNED) {
      this.unassigned.shift();
    }
    this.step(now);
    return true;
  }

  /** Time after which `step` must be called, in milliseconds; undefined when the queue is empty. */
  get nextStepMilliseconds(): number | undefined {
    if (this.waiting.size > 0) {
      return STEP_MILLISECONDS;
    }
    return this.unassigned.length > 0
      ? UNASSIGNED_STEP_MILLISECONDS
      : undefined;
  }

  /** Sends queued announcements, within the maximum rate. */
  step(now: number): void {
    this.assign(now);
    while (
      this.waiting.size > 0 &&
      this.announcements.take(
        1,
        ANNOUNCEMENTS_PER_SECOND,
        ANNOUNCEMENTS_PER_SECOND,
        now,
      ) > 0
    ) {
      const [ip, streams] = this.waiting.entries().next().value!;
      const begunStreams = streams.splice(0, MAX_STREAMS_PER_MESSAGE);
      this.waitingCount -= begunStreams.length;
      this.waiting.delete(ip);
      if (streams.length > 0) {
        this.waiting.set(ip, streams);
      }
      this.send(ip, {begunStreams});
    }
  }

  /** Assigns queued streams to their holders, once another gateway is known. */
  private assign(now: number): void {
    const ips = this.members.ips(now);
    if (ips.length === 0) {
      return;
    }
    for (const stream of this.unassigned.splice(0)) {
      const [attemptId] = stream;
      const holders = directMembers.responsibleFor(
        attemptId,
        ips,
        HOLDER_COUNT,
      );
      for (const ip of holders) {
        const streams = this.waiting.get(ip) ?? [];
        this.waiting.set(ip, streams);
        streams.push(stream);
        this.waitingCount++;
      }
    }
  }

  /** Queries other gateways. The result follows when one knows the stream, or when all have answered. */
  lookUp(
    attemptId: string,
    now: number,
  ): {
    readonly sequence: number;
    readonly found: rxjs.Observable<LookupResult>;
  } {
    const sequence = ++this.lastSequence;
    const ips = this.members.ips(now);
    const queried = directMembers.responsibleFor(attemptId, ips, QUERIED_COUNT);
    const mayAsk =
      this.lookups.take(1, LOOKUPS_PER_SECOND, LOOKUPS_PER_SECOND, now) > 0;
    if (!mayAsk || queried.length === 0) {
      const finding = {
        softwareVersion: undefined,
        queried: queried.length,
        answered: 0,
      };
      return {sequence, found: rxjs.of(finding)};
    }
    const found = new rxjs.ReplaySubject<LookupResult>(1);
    this.pending.set(sequence, {
      awaited: new Set(queried),
      queried: queried.length,
      found,
    });
    queried.forEach(ip => this.send(ip, {versionQuery: {sequence, attemptId}}));
    return {sequence, found};
  }

  /** Ends a lookup that some gateways have not answered; its result follows at once. */
  giveUp(sequence: number): void {
    this.settle(sequence, undefined);
  }

  /** Handles a message of another gateway. */
  receive(ip: string, message: DirectoryMessage, now: number): void {
    const {begunStreams, versionQuery, versionAnswer} = message;
    begunStreams?.forEach(([attemptId, softwareVersion]) =>
      this.streams.record(attemptId, softwareVersion, now),
    );
    if (versionQuery !== undefined) {
      const {sequence, attemptId} = versionQuery;
      const softwareVersion = this.streams.find(attemptId, now) ?? null;
      this.send(ip, {versionAnswer: {sequence, softwareVersion}});
    }
    if (versionAnswer !== undefined) {
      const {sequence, softwareVersion} = versionAnswer;
      const query = this.pending.get(sequence);
      const isLast =
        query?.awaited.delete(ip) === true && query.awaited.size === 0;
      if (softwareVersion !== null || isLast) {
        this.settle(sequence, softwareVersion ?? undefined);
      }
    }
  }

  private settle(sequence: number, softwareVersion: string | undefined): void {
    const query = this.pending.get(sequence);
    if (query === undefined) {
      return;
    }
    this.pending.delete(sequence);
    const {queried, awaited, found} = query;
    found.next({softwareVersion, queried, answered: queried - awaited.size});
    found.complete();
  }
}
