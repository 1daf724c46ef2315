/** Refuses generations that cannot start in time, and says when their callers may return. */
import * as demandTable from '../common/admission/demand_table';
import * as refusedCallers from '../common/admission/refused_callers';
import * as roomSplit from '../common/admission/room_split';
import * as startForecast from '../common/admission/start_forecast';
import * as generationQueue from '../common/generation_queue';
import * as runTable from '../common/run_table';
import * as enginePlaces from './engine_places';
import * as gatewayMetrics from './gateway_metrics';
import * as waitingCall from './waiting_call';

/** Why a generation is refused. */
export enum RefusalReason {
  /** It would start too late by the forecast. */
  Forecast = 'forecast',
  /** It waited as long as it could. */
  TooLate = 'too-late',
  /** The queue is full. */
  QueueFull = 'queue-full',
  /** It gave way, in a full queue, to a customer with fewer generations there. */
  Displaced = 'displaced',
}

/** A refusal and when the caller may return. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly retrySeconds: number;
}

/** Refusals of one gateway. */
export class GenerationRefusals {
  private readonly refused = new refusedCallers.RefusedCallers();

  constructor(
    private readonly demand: demandTable.DemandTable,
    private readonly places: enginePlaces.EnginePlaces,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
  ) {}

  /** Takes the time at which a request that was refused arrived first; undefined for a new one. */
  takeReturned(fingerprint: string, now: number): number | undefined {
    return this.refused.take(fingerprint, now);
  }

  /** Returns the refusal of a generation that will not start in time by the forecast; undefined if it may wait. */
  findForecast(
    waiting: waitingCall.WaitingCall,
    queue: generationQueue.GenerationQueue<waitingCall.WaitingCall>,
    loads: runTable.GatewayLoadView,
    now: number,
  ): Refusal | undefined {
    const {competitor} = waiting;
    if (competitor === undefined) {
      return undefined;
    }
    const places = this.placesFor(waiting, loads, now);
    const table = this.demand.of(competitor.endpoint);
    const isPlentiful = places.taken < places.places * roomSplit.PLENTY_SHARE;
    const isFirst = queue.length <= 1 && table.peersWaiting(now) === 0;
    if (isPlentiful && isFirst) {
      return undefined;
    }
    const wait = this.expectedWait(waiting, queue, places, now);
    const allowed = generationQueue.latestStart(waiting) - now;
    return wait !== undefined && wait > allowed
      ? this.refuse(waiting, RefusalReason.Forecast, queue, loads, now)
      : undefined;
  }

  /** Refuses a generation: counts and logs it, and says when its caller may return. */
  refuse(
    waiting: waitingCall.WaitingCall,
    reason: RefusalReason,
    queue: generationQueue.GenerationQueue<waitingCall.WaitingCall>,
    loads: runTable.GatewayLoadView,
    now: number,
  ): Refusal | undefined {
    this.metrics.refusedGenerations.inc({reason});
    const {competitor, context} = waiting;
    if (competitor === undefined) {
      return undefined;
    }
    const places = this.placesFor(waiting, loads, now);
    const wait = this.expectedWait(waiting, queue, places, now);
    const allowed = generationQueue.latestStart(waiting) - waiting.arrivedAt;
    const delay = startForecast.returnDelay(wait ?? 0, allowed);
    const {firstArrivedAt, customer, work, endpoint} = competitor;
    this.refused.add(
      context.call.fingerprint,
      firstArrivedAt ?? waiting.arrivedAt,
      now,
    );
    const [largest, rate] = work.largest(now);
    const table = this.demand.of(endpoint);
    context.log('generation-refused', {
      reason,
      held_by: waiting.heldBy,
      endpoint,
      customer,
      urgency: waiting.urgency,
      work_ms_per_s: Math.round(work.rate(customer, now)),
      largest_customer: largest,
      largest_work_ms_per_s: Math.round(rate),
      forecast_wait_ms: wait === undefined ? undefined : Math.round(wait),
      allowed_wait_ms: Math.round(allowed),
      return_ms: Math.round(delay),
      places: Number.isFinite(places.places) ? places.places : undefined,
      taken: places.taken,
      served_ms:
        places.servedMilliseconds && Math.round(places.servedMilliseconds),
      waiting: queue.length,
      peers_waiting: table.peersWaiting(now),
      returned: firstArrivedAt !== undefined,
    });
    return {reason, retrySeconds: delay / 1000};
  }

  private expectedWait(
    waiting: waitingCall.WaitingCall,
    queue: generationQueue.GenerationQueue<waitingCall.WaitingCall>,
    places: enginePlaces.KnownPlaces,
    now: number,
  ): number | undefined {
    const {work, customer, endpoint} = waiting.competitor!;
    const isBehind = work.deficit(customer, now) > 0;
    return startForecast.expectedWait({
      places: places.places,
      taken: places.taken,
      servedMilliseconds: places.servedMilliseconds,
      ahead: queue.countAhead(waiting, now),
      // Every gateway starts the generations of customers that are behind first, so those do not divide the places by demand.
      share: isBehind ? 1 : this.demand.of(endpoint).ownShare(now),
    });
  }

  private placesFor(
    waiting: waitingCall.WaitingCall,
    loads: runTable.GatewayLoadView,
    now: number,
  ): enginePlaces.KnownPlaces {
    const {call} = waiting.context;
    return this.places.get(call, waitingCall.sizeOf(waiting), loads, now);
  }
}
