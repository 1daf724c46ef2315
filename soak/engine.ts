/** The runs and the memory of a replica that generates streams. */
import * as timers from 'node:timers/promises';
import * as copies from './copies';
import * as requestHistory from './request_history';
import * as runRules from './run_rules';
import * as streamRun from './stream_run';

const {RunOrigin} = runRules;

/** Maximum number of pieces of a stream; a request may ask for fewer. */
const MAX_PIECES = 120;
/** Interval of the states that a replica reports, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 100;
/** Number of states between the newest one and the one that is reported. */
const REPORT_LAG = 2;
/** Tokens that fit into the memory of an engine. */
export const MEMORY_TOKENS = 34_000;

/** What distinguishes a replica from others. */
export interface ReplicaProfile {
  readonly id: string;
  readonly service: string;
  /** Version of its software. */
  readonly version: string;
  readonly dataCentre: string;
  /** Speed relative to the common one. */
  readonly speed: number;
  /** Whether its runs go on after their connections have broken. */
  readonly worksOn: boolean;
  /** Interval at which it sends the parts of backups, in milliseconds. */
  readonly backupMilliseconds: number;
}

/** What `/report` tells, without what identifies the replica. */
interface LoadState {
  readonly active: number;
  readonly kvInUse: number;
  readonly kvHandles: number;
  readonly runs: readonly unknown[];
}

/** Body of `/kv-move`. */
export interface MoveOrder {
  readonly id: string;
  /** Address of the replica that gets the copy. */
  readonly target: string;
  readonly last?: boolean;
}

interface MoveAnswer {
  readonly status: number;
  readonly kvHandle?: string;
  /** Number of pieces that the copy covers. */
  readonly created?: number;
}

/** A run to begin. */
interface NewRun extends Omit<
  streamRun.StreamRunOptions,
  'version' | 'speed' | 'worksOn' | 'onEnd'
> {
  /** Copy from which it goes on. */
  readonly copy: copies.Copy | undefined;
  readonly backupAddress: string | undefined;
  /** Piece after which it goes on; 0 to begin. */
  readonly lastPiece: number;
}

/** Runs streams, and holds copies of runs of other replicas. */
export class Engine {
  /** Unix milliseconds of its last start. */
  born = 0;
  copies: copies.CopyStore;
  private reports: LoadState[] = [];
  private reportTimer: NodeJS.Timeout | undefined;
  private readonly streams = new Map<string, streamRun.StreamRun>();

  constructor(
    private readonly profile: ReplicaProfile,
    private readonly history: requestHistory.RequestHistory,
    private readonly findCopies: copies.CopyStoreFinder,
  ) {
    this.copies = new copies.CopyStore(profile.dataCentre);
  }

  /** Starts with nothing in memory. */
  start(): void {
    this.copies = new copies.CopyStore(this.profile.dataCentre);
    this.reports = [];
    this.born = Math.max(Date.now(), this.born + 1);
    this.reportTimer = setInterval(() => {
      this.reports.push(this.loadState());
      this.reports.splice(0, this.reports.length - REPORT_LAG - 1);
    }, REPORT_INTERVAL_MILLISECONDS);
  }

  /** Closes the connections of streams without length or chunks in order, inside an event. */
  breakUnframedStreams(): void {
    [...this.streams.values()]
      .filter(run => run.isUnframed)
      .forEach(run => run.breakInsideEvent());
  }

  /** Resets the connections of all streams. */
  breakConnections(): void {
    [...this.streams.values()].forEach(run => run.breakConnection());
  }

  /** Drops all runs. */
  crash(): void {
    this.breakUnframedStreams();
    [...this.streams.values()].forEach(run => run.end(false));
    clearInterval(this.reportTimer);
  }

  /** Begins a run. */
  run({copy, backupAddress, lastPiece, ...options}: NewRun): void {
    const {attempt} = options;
    const {id, version, speed, worksOn, dataCentre, backupMilliseconds} =
      this.profile;
    if (copy !== undefined && copy.attempt !== attempt) {
      this.history.recordViolation(
        'whole',
        `${attempt} went on from the memory of ${copy.attempt}`,
      );
    }
    const resumed = lastPiece > 0 ? RunOrigin.Event : RunOrigin.New;
    const recordEnd = this.history.recordRun(
      attempt,
      id,
      performance.now(),
      copy !== undefined ? RunOrigin.Copy : resumed,
    );
    const run = new streamRun.StreamRun(
      {
        ...options,
        pieces: Math.min(MAX_PIECES, options.pieces),
        version,
        speed,
        worksOn,
        onEnd: () => {
          recordEnd(performance.now());
          if (this.streams.get(attempt) === run) {
            this.streams.delete(attempt);
          }
        },
      },
      lastPiece,
    );
    this.streams.set(attempt, run);
    if (backupAddress !== undefined) {
      run.backup = new copies.BackupTransfer(run, backupAddress, {
        intervalMilliseconds: backupMilliseconds,
        dataCentre,
        findStore: this.findCopies,
      });
    }
  }

  /** Copies a run to another replica; a run that is stopped for it leaves a copy here too. */
  async move(order: MoveOrder, address: string): Promise<MoveAnswer> {
    const run = this.streams.get(order.id);
    if (run === undefined) {
      return {status: 404};
    }
    const isFinal = order.last === true;
    if (isFinal) {
      run.stop();
    }
    const kvHandle = `${this.profile.id}-${order.id}-${run.sentPieces}`;
    const copy: copies.Copy = {
      attempt: run.attempt,
      source: address,
      pieces: run.sentPieces,
      expiresAt: performance.now() + copies.COPY_LIFETIME_MILLISECONDS,
      isUsed: false,
    };
    if (isFinal) {
      this.copies.put(kvHandle, copy);
    }
    const target = this.findCopies(order.target);
    if (target !== undefined) {
      const {dataCentre} = this.profile;
      await timers.setTimeout(copies.transferTime(dataCentre, target));
    }
    // The target may have started again in the meantime.
    const isReached =
      target !== undefined && this.findCopies(order.target) === target;
    if (isReached && target.put(kvHandle, copy)) {
      return {status: 200, kvHandle, created: copy.pieces};
    }
    return {status: 503, kvHandle: isFinal ? kvHandle : undefined};
  }

  /** State as of some hundred milliseconds ago. */
  report(): object {
    return {
      born: this.born,
      phase: 'mixed',
      models: [],
      busy: false,
      seq: 0,
      queued: 0,
      kvSize: MEMORY_TOKENS,
      ...(this.reports.at(0) ?? this.loadState()),
    };
  }

  private loadState(): LoadState {
    const runs = [...this.streams.values()].map(
      ({attempt, sentPieces}) =>
        [attempt, copies.PROMPT_TOKENS + sentPieces, sentPieces, 1] as const,
    );
    const {isFull, tokens, count} = this.copies;
    const running = runs.reduce((sum, run) => sum + run[1], 0);
    const rest = MEMORY_TOKENS - running - tokens;
    // A run of somebody else's that needs all of the rest.
    const others = isFull ? [['f'.repeat(16), rest, 1, 1]] : [];
    return {
      active: runs.length + others.length,
      kvInUse: isFull ? MEMORY_TOKENS : running + tokens,
      kvHandles: count,
      runs: [...runs, ...others],
    };
  }
}
