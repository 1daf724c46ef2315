/** Free slots for generations at the available engines of an endpoint. */
import * as engineCeilings from '../common/admission/engine_ceilings';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as generationQueue from '../common/generation_queue';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';
import * as stateFollower from './state_follower';

/** Time for which the sums are kept, in milliseconds; they are taken over all engines. */
const LIFETIME_MILLISECONDS = 20;

/** Places as of one moment. */
export interface KnownPlaces {
  readonly places: number;
  taken: number;
  /** Places taken by runs of this gateway. */
  ownRuns: number;
  /** Memory that is not needed by runs, by engine, in tokens; Infinity if not stated. */
  readonly freeTokens: Map<string, number>;
  /** Mean time for which a generation is in an engine; undefined if none has ended yet. */
  readonly servedMilliseconds: number | undefined;
  readonly at: number;
}

/** Slots of the engine; registrations that state none are read as 1. */
export function slotsOf({record}: instanceTable.Instance): number {
  return record.slots > 1 ? record.slots : Infinity;
}

/** Places by endpoint. */
export class EnginePlaces {
  private readonly known = new Map<string, KnownPlaces>();

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly availability: instanceAvailability.InstanceAvailability,
    private readonly ceilings: engineCeilings.EngineCeilings,
  ) {}

  /** Records that a generation of the size, in tokens, was started at the engine. */
  recordStart(endpoint: string, engineId: string, size: number): void {
    const known = this.known.get(endpoint);
    if (known !== undefined) {
      const {freeTokens} = known;
      known.taken++;
      known.ownRuns++;
      freeTokens.set(engineId, (freeTokens.get(engineId) ?? 0) - size);
    }
  }

  forget(endpoint: string): void {
    this.known.delete(endpoint);
  }

  /** Places for generations like the call's, which needs `size` tokens at an engine without runs to compare it with. */
  get(
    call: callContext.AcceptedCall,
    size: number,
    loads: runTable.GatewayLoadView,
    now: number,
  ): KnownPlaces {
    const known = this.known.get(call.endpointName);
    if (known !== undefined && now - known.at < LIFETIME_MILLISECONDS) {
      return known;
    }
    const memoryTokens = call.endpoint?.engine?.memoryTokens || Infinity;
    const usableTokens = memoryTokens * generationQueue.MAX_MEMORY_SHARE;
    const served: number[] = [];
    let places = 0;
    let taken = 0;
    let ownRuns = 0;
    const freeTokens = new Map<string, number>();
    for (const instance of this.follower.instances.forEndpoint(
      call.endpointName,
    )) {
      if (!this.availability.isAvailable(instance, call.scope, now)) {
        continue;
      }
      const {id} = instance.record;
      const load = loads.get(id);
      const meanSize =
        load === undefined ? size : load.memoryTokens / Math.max(1, load.runs);
      const ceiling = this.ceilings.ceiling(id, slotsOf(instance), now);
      const inMemory = Math.floor(usableTokens / Math.max(1, meanSize));
      places += Math.max(1, Math.min(ceiling, inMemory));
      taken += load?.runs ?? 0;
      ownRuns += loads.ownRuns(id);
      freeTokens.set(id, usableTokens - (load?.memoryTokens ?? 0));
      const milliseconds = this.ceilings.servedMilliseconds(id);
      if (milliseconds !== undefined) {
        served.push(milliseconds);
      }
    }
    const servedMilliseconds =
      served.length === 0
        ? undefined
        : served.reduce((sum, each) => sum + each, 0) / served.length;
    const result: KnownPlaces = {
      places,
      taken,
      ownRuns,
      freeTokens,
      servedMilliseconds,
      at: now,
    };
    this.known.set(call.endpointName, result);
    return result;
  }
}
