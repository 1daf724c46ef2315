/** Chooses the endpoint instance for an attempt. */
import * as generationRequest from '../../protocol/common/generation_request';
import * as endpointTable from './endpoint_table';
import * as prefixTable from './prefix_table';

/** A request to be placed. */
export interface PlacementRequest {
  readonly endpoints: readonly string[];
  readonly excluded: ReadonlySet<string>;
  readonly request: Pick<
    generationRequest.GenerationRequest,
    'prompt' | 'promptTokens' | 'requestClass'
  >;
  readonly expectedTokens: number;
}

/** Weights of placement. */
export interface PlacementPolicy {
  /** Value of one prompt token found in the prefix cache, in output tokens. */
  readonly prefixWorth: number;
  /** Cost of forecast memory overflow, in output tokens per full memory of overflow. */
  readonly overflowCost: number;
}

/** Defaults for prompts with shared templates. */
export const DEFAULT_PLACEMENT_POLICY: PlacementPolicy = {
  prefixWorth: 0.5,
  overflowCost: 20_000,
};

/** Memory pressure above which the overflow cost applies. */
const OVERFLOW_PRESSURE = 0.8;

/** Result of placement. */
export interface Placement {
  readonly row: endpointTable.EndpointInstance | undefined;
  /** Whether an instance may become usable shortly. */
  readonly isPending: boolean;
}

/** Balances shared prefixes against load and forecast memory. */
export class PlacementSystem {
  readonly prefixes = new prefixTable.PrefixTable();
  private rotation = 0;

  constructor(private readonly policy: PlacementPolicy) {}

  /** Chooses an instance that accepts work, and adds the work to its load until its next load report. */
  place(
    table: endpointTable.EndpointTable,
    wanted: PlacementRequest,
    now: number,
  ): Placement {
    const eligible = [...table.all()].filter(
      candidate =>
        wanted.endpoints.includes(candidate.endpoint) &&
        !wanted.excluded.has(candidate.instance),
    );
    const usable = eligible.filter(endpointTable.acceptsWork);
    if (usable.length === 0) {
      const isPending = eligible.some(
        candidate => candidate.state === endpointTable.LinkState.Connecting,
      );
      return {row: undefined, isPending};
    }
    const hashes = prefixTable.chunkHashes(wanted.request.prompt);
    // Starting at a rotating position distributes ties evenly.
    this.rotation++;
    let best = usable[this.rotation % usable.length];
    let bestCost = this.cost(best, wanted, hashes, now);
    for (const candidate of usable) {
      const cost = this.cost(candidate, wanted, hashes, now);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    best.dispatchedTokens +=
      wanted.expectedTokens + wanted.request.promptTokens;
    this.prefixes.add(best.instance, hashes, now);
    return {row: best, isPending: false};
  }

  private cost(
    candidate: endpointTable.EndpointInstance,
    wanted: PlacementRequest,
    hashes: readonly string[],
    now: number,
  ): number {
    const load = candidate.load!;
    const sharedTokens =
      this.prefixes.countSharedChunks(candidate.instance, hashes, now) *
      prefixTable.CHUNK_TOKENS;
    const overflow = Math.max(0, load.memoryPressure - OVERFLOW_PRESSURE);
    return (
      load.outstandingTokens +
      candidate.dispatchedTokens +
      this.policy.overflowCost * overflow -
      this.policy.prefixWorth * sharedTokens
    );
  }
}
