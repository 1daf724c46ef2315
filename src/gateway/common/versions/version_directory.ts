/**
 * Has two other gateways remember which software version began a stream, and
 * asks them when a caller takes up a stream that this gateway does not know.
 * They are chosen by the id of the attempt, so that a stream costs a few
 * datagrams whatever the number of gateways. Meant for streams that outlive the
 * gateway that began them, at up to tens of streams a second and gateway.
 */
import * as rxjs from 'rxjs';
import * as directMembers from '../fleet/direct_members';
import * as rateBucket from '../rate_bucket';
import * as streamVersions from './stream_versions';

/** Gateways that remember a stream besides the one that began it. */
const TOLD_COUNT = 2;
/** Gateways that are asked: one more, since the one that began the stream may have been lost. */
const ASKED_COUNT = 3;
/** Streams in one message. */
export const MAX_STREAMS_PER_MESSAGE = 16;
/** Messages about begun streams that are sent in a second; more streams share messages. */
const TELLS_PER_SECOND = 80;
/** Streams that wait to be told; the latest beyond it are not. */
const MAX_WAITING = 8_192;
/** Streams that wait while no other gateway is known; the oldest beyond it are forgotten. */
const MAX_UNASSIGNED = 1_024;
/** Interval at which streams are sent that exceeded the bound before, in milliseconds. */
const STEP_MILLISECONDS = 50;
/** The same while no other gateway is known, which may last. */
const UNASSIGNED_STEP_MILLISECONDS = 500;
/** Streams asked for in a second; those beyond it count as not answered. */
const ASKS_PER_SECOND = 50;
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

/** What other gateways know of a stream. */
export interface Finding {
  /** Undefined if none of those that answered knows the stream. */
  readonly softwareVersion: string | undefined;
  /** Gateways that were asked, and those among them that have answered. */
  readonly asked: number;
  readonly answered: number;
}

interface PendingQuery {
  readonly awaited: Set<string>;
  readonly asked: number;
  readonly found: rxjs.Subject<Finding>;
}

/** The part of the directory that one gateway holds. */
export class VersionDirectory {
  private readonly unassigned: BegunStream[] = [];
  /** Streams to be told, by the IP of the gateway. */
  private readonly waiting = new Map<string, BegunStream[]>();
  private waitingCount = 0;
  private readonly pending = new Map<number, PendingQuery>();
  private readonly tells: rateBucket.RateBucket;
  private readonly asks: rateBucket.RateBucket;
  private lastSequence = 0;

  constructor(
    private readonly streams: streamVersions.StreamVersions,
    private readonly members: directMembers.DirectMembers,
    private readonly send: (ip: string, message: DirectoryMessage) => void,
    now: number,
  ) {
    this.tells = new rateBucket.RateBucket(now, TELLS_PER_SECOND);
    this.asks = new rateBucket.RateBucket(now, ASKS_PER_SECOND);
  }

  /** Has other gateways remember a stream; returns false if too many streams wait to be told. */
  tell(stream: BegunStream, now: number): boolean {
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

  /** Time after which `step` is to be called, in milliseconds; undefined while no stream waits. */
  get nextStepMilliseconds(): number | undefined {
    if (this.waiting.size > 0) {
      return STEP_MILLISECONDS;
    }
    return this.unassigned.length > 0
      ? UNASSIGNED_STEP_MILLISECONDS
      : undefined;
  }

  /** Sends what waits, within the bound. */
  step(now: number): void {
    this.assign(now);
    while (
      this.waiting.size > 0 &&
      this.tells.take(1, TELLS_PER_SECOND, TELLS_PER_SECOND, now) > 0
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

  /** Assigns streams to gateways; they wait while this gateway knows no other, as just after its start. */
  private assign(now: number): void {
    const ips = this.members.ips(now);
    if (ips.length === 0) {
      return;
    }
    for (const stream of this.unassigned.splice(0)) {
      const [attemptId] = stream;
      const told = directMembers.responsibleFor(attemptId, ips, TOLD_COUNT);
      for (const ip of told) {
        const streams = this.waiting.get(ip) ?? [];
        this.waiting.set(ip, streams);
        streams.push(stream);
        this.waitingCount++;
      }
    }
  }

  /** Asks other gateways; the finding comes with the first that knows the stream, or when all have answered. */
  ask(
    attemptId: string,
    now: number,
  ): {readonly sequence: number; readonly found: rxjs.Observable<Finding>} {
    const sequence = ++this.lastSequence;
    const ips = this.members.ips(now);
    const asked = directMembers.responsibleFor(attemptId, ips, ASKED_COUNT);
    const mayAsk = this.asks.take(1, ASKS_PER_SECOND, ASKS_PER_SECOND, now) > 0;
    if (!mayAsk || asked.length === 0) {
      const finding = {
        softwareVersion: undefined,
        asked: asked.length,
        answered: 0,
      };
      return {sequence, found: rxjs.of(finding)};
    }
    const found = new rxjs.ReplaySubject<Finding>(1);
    this.pending.set(sequence, {
      awaited: new Set(asked),
      asked: asked.length,
      found,
    });
    asked.forEach(ip => this.send(ip, {versionQuery: {sequence, attemptId}}));
    return {sequence, found};
  }

  /** Ends a query that was not answered by all; its finding comes now. */
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
    const {asked, awaited, found} = query;
    found.next({softwareVersion, asked, answered: asked - awaited.size});
    found.complete();
  }
}
