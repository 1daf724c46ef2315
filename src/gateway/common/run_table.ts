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

/** Load of one engine instance. */
export interface InstanceLoad {
  runs: number;
  /** Memory that the runs are expected to need at their ends, in tokens. */
  memoryTokens: number;
  /** Prompt tokens still to be processed. */
  prefillTokens: number;
  /** Runs waiting at the engine, as reported by the engine; undefined without a report. */
  queuedRuns?: number;
}

const IDLE: InstanceLoad = {runs: 0, memoryTokens: 0, prefillTokens: 0};

/** Loads by instance id, as reported by one gateway. */
export type LoadsByInstance = Readonly<Record<string, InstanceLoad>>;

interface PeerLoads {
  readonly loads: LoadsByInstance;
  readonly at: number;
}

/** Age after which the loads of a peer are ignored, in milliseconds. */
const PEER_LOAD_LIFETIME_MILLISECONDS = 3_000;

/** Memory that the run is expected to need at its end, in tokens. */
export function expectedFinalMemory(run: Run): number {
  const generated = run.eventsDelivered * run.tokensPerEvent;
  const expected = Math.max(
    run.expectedTokens,
    Math.min(run.maxTokens, generated * 1.25),
  );
  return run.promptTokens + expected;
}

/** Holds the runs of this gateway and the loads reported by its peers. */
export class RunTable {
  private readonly runs = new Set<Run>();
  private readonly peers = new Map<string, PeerLoads>();

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

  setPeerLoads(peer: string, loads: LoadsByInstance, now: number): void {
    this.peers.set(peer, {loads, at: now});
  }

  /** Load caused by the runs of this gateway alone, to be sent to peers. */
  ownLoads(): Record<string, InstanceLoad> {
    const loads: Record<string, InstanceLoad> = {};
    const add = (instanceId: string, run: Run, prefillTokens: number) => {
      const load = (loads[instanceId] ??= {...IDLE});
      load.runs++;
      load.memoryTokens += Math.round(expectedFinalMemory(run));
      load.prefillTokens += prefillTokens;
    };
    for (const run of this.runs) {
      add(run.instanceId, run, run.hasStarted ? 0 : run.promptTokens);
      if (run.copyInstanceId !== undefined) {
        add(run.copyInstanceId, run, 0);
      }
    }
    return loads;
  }

  /** Load of every instance from the runs of this gateway and recent reports of its peers. */
  totalLoads(now: number): Map<string, InstanceLoad> {
    const totals = new Map<string, InstanceLoad>();
    merge(totals, this.ownLoads());
    for (const [peer, report] of this.peers) {
      if (now - report.at > PEER_LOAD_LIFETIME_MILLISECONDS) {
        this.peers.delete(peer);
        continue;
      }
      merge(totals, report.loads);
    }
    return totals;
  }
}

function merge(
  totals: Map<string, InstanceLoad>,
  loads: LoadsByInstance,
): void {
  for (const [instanceId, load] of Object.entries(loads)) {
    const total = totals.get(instanceId) ?? {...IDLE};
    total.runs += load.runs;
    total.memoryTokens += load.memoryTokens;
    total.prefillTokens += load.prefillTokens;
    totals.set(instanceId, total);
  }
}
