/** Runs that this gateway has open at engines, and the loads caused by the runs of its peers. */

/** One generation running at an engine. */
export interface Run {
  readonly attemptId: string;
  /** Id of the instance that executes the run. */
  instanceId: string;
  /** Id of the instance that holds a copy in its memory; undefined when there is none. */
  copyInstanceId: string | undefined;
  readonly endpoint: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Expected length of the output in tokens. */
  readonly expectedTokens: number;
  readonly tokensPerEvent: number;
  eventsDelivered: number;
  /** Whether the first event has arrived, which means that the prompt is processed. */
  hasStarted: boolean;
}

/** Expected events from which a stream is long: pauses in it are likely to be noticed. */
export const LONG_STREAM_EVENTS = 8;

/** Load of one engine instance. */
export interface InstanceLoad {
  runs: number;
  /** Memory that the runs are expected to need at their ends, in tokens. */
  memoryTokens: number;
  /** Prompt tokens still to be processed. */
  prefillTokens: number;
  /** Runs waiting at the engine, as reported by the engine; undefined without a report. */
  queuedRuns?: number;
  /** Runs that send long streams; absent unless speeds are measured, and from older builds. */
  longRuns?: number;
}

/** Load without runs. All sums have the same fields from the start, since adding one later slows down each report. */
function idleLoad(countsLongRuns: boolean): InstanceLoad {
  return countsLongRuns
    ? {runs: 0, memoryTokens: 0, prefillTokens: 0, longRuns: 0}
    : {runs: 0, memoryTokens: 0, prefillTokens: 0};
}

/** Loads by instance id, as reported by one gateway. */
export type LoadsByInstance = Readonly<Record<string, InstanceLoad>>;

interface PeerLoads {
  readonly loads: LoadsByInstance;
  readonly at: number;
}

/** Loads of all engines as known at one moment. */
export interface LoadView {
  /** Load of the instance, or undefined if it has none. */
  get(instanceId: string): InstanceLoad | undefined;
}

/** Loads, with those of this gateway apart. */
export interface GatewayLoadView extends LoadView {
  /** Number of runs of this gateway at the instance. */
  ownRuns(instanceId: string): number;
}

/** Memory that the run is expected to need at its end, in tokens. */
export function expectedFinalMemory(run: Run): number {
  const generated = run.eventsDelivered * run.tokensPerEvent;
  const expected = Math.max(
    run.expectedTokens,
    Math.min(run.maxTokens, generated * 1.25),
  );
  return run.promptTokens + expected;
}

function isLong({expectedTokens, tokensPerEvent}: Run): boolean {
  return expectedTokens / tokensPerEvent >= LONG_STREAM_EVENTS;
}

/**
 * Holds the runs of this gateway and the loads reported by its peers. The sum
 * over the peers is kept up to date with each report, so that a placement costs
 * the same whatever their number.
 */
export class RunTable {
  private readonly runs = new Set<Run>();
  /** Reports by peer, the oldest first. */
  private readonly peers = new Map<string, PeerLoads>();
  private readonly peerTotals = new Map<string, InstanceLoad>();

  /** `countsLongRuns`: whether loads tell the number of long streams. */
  constructor(private readonly countsLongRuns = false) {}

  get size(): number {
    return this.runs.size;
  }

  /** Number of peers whose loads are included. */
  get peerCount(): number {
    return this.peers.size;
  }

  add(run: Run): void {
    this.runs.add(run);
  }

  remove(run: Run): void {
    this.runs.delete(run);
  }

  runsAt(instanceId: string): Run[] {
    return [...this.runs].filter(run => run.instanceId === instanceId);
  }

  /** Number of runs at the instance, of this gateway and its peers. */
  countAt(instanceId: string): number {
    let count = this.peerTotals.get(instanceId)?.runs ?? 0;
    for (const run of this.runs) {
      count += run.instanceId === instanceId ? 1 : 0;
    }
    return count;
  }

  /** Replaces the loads of a peer. */
  setPeerLoads(peer: string, loads: LoadsByInstance, now: number): void {
    this.removePeer(peer);
    this.peers.set(peer, {loads, at: now});
    this.addToTotals(loads, 1);
  }

  /** Removes the loads of peers that were last reported before the time. */
  removeReportsBefore(time: number): void {
    for (const [peer, report] of this.peers) {
      if (report.at >= time) {
        return;
      }
      this.removePeer(peer);
    }
  }

  /** Age of the oldest peer report included in the sums, in milliseconds; undefined without any. */
  oldestReportAge(now: number): number | undefined {
    const first = this.peers.values().next();
    return first.done === true ? undefined : now - first.value.at;
  }

  /** Load caused by the runs of this gateway alone, to be sent to peers. */
  ownLoads(): Record<string, InstanceLoad> {
    const loads: Record<string, InstanceLoad> = {};
    const add = (instanceId: string, run: Run, prefillTokens: number) => {
      const load = (loads[instanceId] ??= idleLoad(this.countsLongRuns));
      load.runs++;
      load.memoryTokens += Math.round(expectedFinalMemory(run));
      load.prefillTokens += prefillTokens;
      if (this.countsLongRuns && isLong(run) && instanceId === run.instanceId) {
        load.longRuns = (load.longRuns ?? 0) + 1;
      }
    };
    for (const run of this.runs) {
      add(run.instanceId, run, run.hasStarted ? 0 : run.promptTokens);
      if (run.copyInstanceId !== undefined) {
        add(run.copyInstanceId, run, 0);
      }
    }
    return loads;
  }

  /** Loads of all instances from the runs of this gateway and the reports of its peers. */
  view(): GatewayLoadView {
    const own = this.ownLoads();
    return {
      ownRuns: instanceId => own[instanceId]?.runs ?? 0,
      get: instanceId => {
        const ownLoad = own[instanceId];
        const peerLoad = this.peerTotals.get(instanceId);
        if (ownLoad === undefined || peerLoad === undefined) {
          const load = ownLoad ?? peerLoad;
          return load && {...load};
        }
        return {
          runs: ownLoad.runs + peerLoad.runs,
          memoryTokens: ownLoad.memoryTokens + peerLoad.memoryTokens,
          prefillTokens: ownLoad.prefillTokens + peerLoad.prefillTokens,
          ...(this.countsLongRuns && {
            longRuns: (ownLoad.longRuns ?? 0) + (peerLoad.longRuns ?? 0),
          }),
        };
      },
    };
  }

  private removePeer(peer: string): void {
    const report = this.peers.get(peer);
    if (report !== undefined) {
      this.peers.delete(peer);
      this.addToTotals(report.loads, -1);
    }
  }

  private addToTotals(loads: LoadsByInstance, sign: 1 | -1): void {
    for (const [instanceId, load] of Object.entries(loads)) {
      const total =
        this.peerTotals.get(instanceId) ?? idleLoad(this.countsLongRuns);
      total.runs += sign * load.runs;
      total.memoryTokens += sign * load.memoryTokens;
      total.prefillTokens += sign * load.prefillTokens;
      if (this.countsLongRuns) {
        total.longRuns = (total.longRuns ?? 0) + sign * (load.longRuns ?? 0);
      }
      this.peerTotals.set(instanceId, total);
      if (total.runs <= 0) {
        this.peerTotals.delete(instanceId);
      }
    }
  }
}
