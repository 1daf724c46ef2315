/**
 * Decides whether a generation may be sent to an engine or waits at the
 * gateway. Meant for engines that queue what they cannot run: a generation that
 * waits there can no longer be ordered. Stepped by the caller's clock.
 */
import * as generationQueue from '../generation_queue';
import * as demandShare from './demand_share';
import * as demandTable from './demand_table';
import * as engineCeilings from './engine_ceilings';
import * as readingBacklog from './reading_backlog';
import * as roomSplit from './room_split';
import * as urgentReserve from './urgent_reserve';

/** Longest time for which a generation gives way to peers without pause, in milliseconds: peers start theirs within the age of a load, or cannot. */
const MAX_YIELD_MILLISECONDS = 450;
/** Time after which giving way may begin again, in milliseconds. */
const YIELD_PERIOD_MILLISECONDS = 600;
/** Time for which starts stay even after generations waited, in milliseconds. */
const CONTENTION_MILLISECONDS = 2_000;
/** Endpoints with a state; the oldest are forgotten first. */
const MAX_ENDPOINTS = 256;

/** Why a generation waits. */
export enum HoldReason {
  /** The runs of the engine are expected to need its memory. */
  Memory = 'memory',
  Slots = 'slots',
  /** More prompt tokens are to be read there than can be within the objective. */
  Prompts = 'prompts',
  /** The engine reports generations that wait inside it. */
  EngineQueue = 'engine-queue',
  /** Generations that wait at other gateways go first. */
  Peers = 'peers',
  /** The free places are divided among the gateways that see them. */
  Split = 'split',
  /** More urgent generations would have no room in the memory of any engine. */
  Reserve = 'reserve',
}

/** An engine as this gateway sees it. */
export interface EngineState {
  readonly id: string;
  /** Infinity if not stated. */
  readonly slots: number;
  /** Runs known there, without the generation to be started. */
  readonly runs: number;
  /** Memory with the generation, as a share of the engine's. */
  readonly memoryShare: number;
  /** Prompt tokens of runs without any event. */
  readonly prefillTokens: number;
  /** Runs that wait inside the engine, by a fresh report; undefined without one. */
  readonly queuedRuns: number | undefined;
}

/** Places of all engines of an endpoint that take work. */
export interface Places {
  readonly places: number;
  readonly taken: number;
  /** Places taken by runs of this gateway. */
  readonly ownRuns: number;
  /** Memory that is not needed by runs, by engine, in tokens; Infinity if not stated. */
  readonly freeTokens: ReadonlyMap<string, number>;
  /** Mean time for which a generation has a place; undefined if none has ended yet. */
  readonly servedMilliseconds: number | undefined;
}

/** A generation that is about to start. */
export interface GateRequest {
  readonly endpoint: string;
  readonly customer: string;
  readonly urgency: number;
  readonly promptTokens: number;
  /** Memory that it is expected to need at its end, in tokens. */
  readonly memoryTokens: number;
  readonly waitedMilliseconds: number;
  /** Monotonic time of its objective, in milliseconds. */
  readonly objectiveAt: number;
  /** Whether it has waited so long that more urgent ones do not go ahead. */
  readonly isAged: boolean;
}

interface EndpointState {
  readonly split: roomSplit.RoomSplit;
  readonly share: demandShare.DemandShare;
  readonly reserve: urgentReserve.UrgentReserve;
  /** Monotonic milliseconds since which generations give way to peers; undefined while none does. */
  yieldingSince: number | undefined;
  /** Monotonic milliseconds at which generations waited here or at peers. */
  waitedAt: number;
}

/** Admission of one gateway. */
export class GenerationGate {
  readonly ceilings = new engineCeilings.EngineCeilings();
  private readonly backlog = new readingBacklog.ReadingBacklog();
  private readonly endpoints = new Map<string, EndpointState>();

  constructor(readonly demand: demandTable.DemandTable) {}

  /** Returns why the generation waits; undefined if it may start at the engine. `places` is asked only when needed. */
  check(
    request: GateRequest,
    engine: EngineState,
    places: () => Places,
    now: number,
  ): HoldReason | undefined {
    const table = this.demand.of(request.endpoint);
    const state = this.stateOf(request.endpoint);
    state.reserve.record(request.urgency, request.memoryTokens, now);
    if (engine.runs <= 0) {
      // An idle engine takes a generation of any size.
      return undefined;
    }
    if (engine.memoryShare > generationQueue.MAX_MEMORY_SHARE) {
      return HoldReason.Memory;
    }
    this.ceilings.recordRuns(engine.id, engine.runs, now);
    if (state.share.isDue(now)) {
      state.share.sample(table.waitingHere, table.peersWaiting(now), now);
    }
    const deficit = table.work.deficit(request.customer, now);
    return (
      this.checkEngine(request, engine, deficit, now) ??
      this.checkReserve(request, engine, deficit, places, now) ??
      this.checkPeers(request, deficit, places, now)
    );
  }

  /** Time that an engine needs to read the prompt and those ahead of it, in milliseconds. */
  readingMilliseconds(
    {id, prefillTokens}: Pick<EngineState, 'id' | 'prefillTokens'>,
    promptTokens: number,
    now: number,
  ): number {
    const unread = this.backlog.tokens(id, prefillTokens, now);
    return (unread + promptTokens) / readingBacklog.READ_TOKENS_PER_MILLISECOND;
  }

  /** Records that a generation was started at an engine. */
  recordStart(endpoint: string): void {
    this.stateOf(endpoint).split.recordStart();
  }

  /** Records that a run of this gateway ended. */
  recordEnd(endpoint: string): void {
    this.stateOf(endpoint).split.recordEnd();
  }

  private checkEngine(
    {promptTokens, objectiveAt, waitedMilliseconds}: GateRequest,
    {id, slots, runs, prefillTokens, queuedRuns}: EngineState,
    deficit: number,
    now: number,
  ): HoldReason | undefined {
    const leftMilliseconds = Math.max(0, objectiveAt - now);
    const behind = {deficit, leftMilliseconds, waitedMilliseconds};
    const extra =
      this.ceilings.ahead(id, slots, now) +
      this.ceilings.headroom(id, slots, behind, now);
    if (runs >= this.ceilings.ceiling(id, slots, now) + extra) {
      return HoldReason.Slots;
    }
    if ((queuedRuns ?? 0) > extra) {
      return HoldReason.EngineQueue;
    }
    const unread = this.backlog.tokens(id, prefillTokens, now);
    const readable =
      leftMilliseconds * readingBacklog.READ_TOKENS_PER_MILLISECOND;
    return unread > 0 && unread + promptTokens > readable
      ? HoldReason.Prompts
      : undefined;
  }

  /** Less urgent generations leave room for more urgent ones. Not those of customers behind that have waited for long: urgent generations may have taken all memory for themselves. */
  private checkReserve(
    {endpoint, urgency, memoryTokens, isAged}: GateRequest,
    {id}: EngineState,
    deficit: number,
    places: () => Places,
    now: number,
  ): HoldReason | undefined {
    if (urgency <= 0 || (isAged && deficit > 0)) {
      return undefined;
    }
    const peersWaiting = this.demand
      .of(endpoint)
      .peersAhead(urgency, true, now);
    const hasRoom = this.stateOf(endpoint).reserve.hasRoom(
      {urgency, memoryTokens, engineId: id, peersWaiting},
      () => places().freeTokens,
      now,
    );
    return hasRoom ? undefined : HoldReason.Reserve;
  }

  /** Only for customers that are not behind: those behind are few by definition and go ahead. */
  private checkPeers(
    {endpoint, urgency, isAged}: GateRequest,
    deficit: number,
    places: () => Places,
    now: number,
  ): HoldReason | undefined {
    const table = this.demand.of(endpoint);
    const gatewayCount = table.activeGateways(now);
    const state = this.stateOf(endpoint);
    const isBehind = deficit > 0;
    const isUneven = !isBehind && this.isContended(table, state, now);
    if (gatewayCount <= 1 && !isUneven) {
      return undefined;
    }
    const rank = isAged ? 0 : urgency;
    const rivals = table.peersAhead(rank, isBehind, now);
    const view = rivals > 0 || !isBehind ? places() : undefined;
    const free = view === undefined ? Infinity : view.places - view.taken;
    if (rivals > 0 && free <= rivals && mayYield(state, now)) {
      return HoldReason.Peers;
    }
    if (rivals === 0 && !isAged) {
      state.yieldingSince = undefined;
    }
    const freedPerSecond = isUneven ? freedRate(view!) : undefined;
    const even = freedPerSecond !== undefined && {
      freedPerSecond,
      meanShare: state.share.get(gatewayCount),
    };
    const isWithinSplit =
      isBehind ||
      state.split.mayStart(
        {
          ...view!,
          demandShare: table.ownShare(now),
          gatewayCount,
          even: even || undefined,
        },
        now,
      );
    return isWithinSplit ? undefined : HoldReason.Split;
  }

  /** Whether generations waited lately while some customer is behind the largest one. */
  private isContended(
    table: demandTable.EndpointDemandTable,
    state: EndpointState,
    now: number,
  ): boolean {
    if (table.isWaiting(now)) {
      state.waitedAt = now;
    }
    return (
      now - state.waitedAt < CONTENTION_MILLISECONDS &&
      table.work.hasCustomerBehind(now)
    );
  }

  private stateOf(endpoint: string): EndpointState {
    const known = this.endpoints.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    const state: EndpointState = {
      split: new roomSplit.RoomSplit(),
      share: new demandShare.DemandShare(),
      reserve: new urgentReserve.UrgentReserve(),
      yieldingSince: undefined,
      waitedAt: -Infinity,
    };
    this.endpoints.set(endpoint, state);
    if (this.endpoints.size > MAX_ENDPOINTS) {
      this.endpoints.delete(this.endpoints.keys().next().value!);
    }
    return state;
  }
}

/** Rate at which places become free, per second. */
function freedRate({places, servedMilliseconds}: Places): number | undefined {
  return servedMilliseconds === undefined || !Number.isFinite(places)
    ? undefined
    : (places * 1000) / servedMilliseconds;
}

/** Whether a generation gives way now. Peers that cannot start theirs would otherwise leave engines idle. */
function mayYield(state: EndpointState, now: number): boolean {
  const since = state.yieldingSince;
  if (since === undefined || now - since >= YIELD_PERIOD_MILLISECONDS) {
    state.yieldingSince = now;
    return true;
  }
  return now - since < MAX_YIELD_MILLISECONDS;
}
