/** Holds generations back while engines are short of room, and refuses those that cannot start in time. */
import * as customerWork from '../common/admission/customer_work';
import * as demandTable from '../common/admission/demand_table';
import * as generationGate from '../common/admission/generation_gate';
import * as readingBacklog from '../common/admission/reading_backlog';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as engineReports from '../common/engine_reports';
import * as generationQueue from '../common/generation_queue';
import * as instanceTable from '../common/instance_table';
import * as placement from '../common/placement';
import * as runTable from '../common/run_table';
import * as tokenPace from '../common/token_pace';
import * as callContext from './call_context';
import * as enginePlaces from './engine_places';
import * as gatewayMetrics from './gateway_metrics';
import * as generationRefusals from './generation_refusals';
import * as stateFollower from './state_follower';
import * as waitingCall from './waiting_call';

/** Age up to which a report of runs that wait inside an engine is considered, in milliseconds; reports are read once a second, and an older queue may have ended. */
const MAX_QUEUE_AGE_MILLISECONDS = 300;

/** Engines tried for one generation while they lack room. */
const MAX_ROOM_ATTEMPTS = 8;

/** An engine with room; without a choice, whether there are engines without room. */
export interface RoomSearch {
  readonly choice: placement.GenerationChoice | undefined;
  readonly isHeld: boolean;
}

interface StartedRun {
  readonly competitor: generationQueue.Competitor;
  readonly instanceId: string;
  readonly slots: number;
  readonly sentAt: number;
  readonly runs: number;
  /** Time to read the prompts ahead and its own, in milliseconds. */
  readonly readingMilliseconds: number;
  /** Time that it waited inside the engine, in milliseconds; undefined before its first event. */
  waitedMilliseconds: number | undefined;
}

/** What admission reads of the gateway. */
export interface AdmissionTables {
  readonly follower: stateFollower.StateFollower;
  readonly availability: instanceAvailability.InstanceAvailability;
  readonly reports: engineReports.EngineReports;
  readonly demand: demandTable.DemandTable;
  readonly pace: tokenPace.TokenPace;
  readonly metrics: gatewayMetrics.GatewayMetrics;
}

/** Admission of generations at one gateway. */
export class GenerationAdmission {
  private readonly gate: generationGate.GenerationGate;
  readonly refusals: generationRefusals.GenerationRefusals;
  private readonly started = new WeakMap<runTable.Run, StartedRun>();
  private readonly places: enginePlaces.EnginePlaces;

  constructor(
    private readonly tables: AdmissionTables,
    /** Whether customers share engines fairly; otherwise memory alone holds generations back. */
    private readonly isFair: boolean,
  ) {
    this.gate = new generationGate.GenerationGate(tables.demand);
    this.places = new enginePlaces.EnginePlaces(
      tables.follower,
      tables.availability,
      this.gate.ceilings,
    );
    this.refusals = new generationRefusals.GenerationRefusals(
      tables.demand,
      this.places,
      tables.metrics,
    );
  }

  /** Describes a generation that is about to wait. */
  describe(
    context: callContext.CallContext,
    urgency: number,
    expectedTokens: number,
  ): waitingCall.WaitingCall {
    const {arrivedAt, route, deadlineAt} = context.call;
    return {
      context,
      expectedTokens,
      urgency,
      arrivedAt,
      objectiveMilliseconds: Math.min(
        route.objectiveMilliseconds,
        deadlineAt - arrivedAt,
      ),
      competitor: this.competitorOf(context, expectedTokens),
      heldBy: undefined,
      wasHeld: false,
    };
  }

  /** Returns why the generation waits; undefined if it may start at the chosen engine. */
  private check(
    waiting: waitingCall.WaitingCall,
    {instance, memoryShare}: placement.GenerationChoice,
    loads: runTable.GatewayLoadView,
    now: number,
  ): generationGate.HoldReason | undefined {
    const {competitor, context} = waiting;
    const load = loads.get(instance.record.id);
    const runs = load?.runs ?? 0;
    waiting.heldBy = undefined;
    if (competitor === undefined) {
      const isTooLarge = memoryShare > generationQueue.MAX_MEMORY_SHARE;
      return isTooLarge && runs > 0
        ? generationGate.HoldReason.Memory
        : undefined;
    }
    const held = this.gate.check(
      {
        endpoint: competitor.endpoint,
        customer: competitor.customer,
        urgency: waiting.urgency,
        promptTokens: context.call.caller.promptTokens,
        memoryTokens: waitingCall.sizeOf(waiting),
        waitedMilliseconds: now - waiting.arrivedAt,
        objectiveAt: waiting.arrivedAt + waiting.objectiveMilliseconds,
        isAged: generationQueue.isAged(waiting, now),
      },
      {
        id: instance.record.id,
        slots: enginePlaces.slotsOf(instance),
        runs,
        memoryShare,
        prefillTokens: load?.prefillTokens ?? 0,
        queuedRuns: this.queuedRuns(instance, now),
      },
      () =>
        this.places.get(context.call, waitingCall.sizeOf(waiting), loads, now),
      now,
    );
    competitor.lacksRoom = held !== undefined && isOfEngine(held);
    waiting.heldBy = held;
    return held;
  }

  /** Lets `find` choose among the engines that are not barred, until one has room. */
  findRoom(
    waiting: waitingCall.WaitingCall,
    loads: runTable.GatewayLoadView,
    now: number,
    barred: ReadonlySet<string>,
    find: (full: ReadonlySet<string>) => placement.GenerationChoice | undefined,
  ): RoomSearch {
    const full = new Set(barred);
    for (let attempt = 0; attempt < MAX_ROOM_ATTEMPTS; attempt++) {
      const choice = find(full);
      if (choice === undefined) {
        return {choice, isHeld: attempt > 0};
      }
      const held = this.check(waiting, choice, loads, now);
      if (held === undefined) {
        return {choice, isHeld: false};
      }
      if (!isOfEngine(held) || waiting.competitor === undefined) {
        break;
      }
      full.add(choice.instance.record.id);
    }
    return {choice: undefined, isHeld: true};
  }

  /** Records that the generation has started. */
  recordStart(
    waiting: waitingCall.WaitingCall,
    run: runTable.Run,
    instance: instanceTable.Instance,
    loads: runTable.GatewayLoadView,
    now: number,
  ): void {
    const {competitor} = waiting;
    if (competitor === undefined) {
      return;
    }
    const load = loads.get(instance.record.id);
    const {id} = instance.record;
    const prefillTokens = load?.prefillTokens ?? 0;
    this.started.set(run, {
      competitor,
      instanceId: id,
      slots: enginePlaces.slotsOf(instance),
      sentAt: now,
      runs: load?.runs ?? 0,
      readingMilliseconds: this.gate.readingMilliseconds(
        {id, prefillTokens},
        run.promptTokens,
        now,
      ),
      waitedMilliseconds: undefined,
    });
    const {work, customer, expectedWork} = competitor;
    work.recordStart(customer, expectedWork, now);
    this.gate.recordStart(competitor.endpoint);
    this.places.recordStart(
      competitor.endpoint,
      id,
      waitingCall.sizeOf(waiting),
    );
  }

  /** Lets one run take the place of another one of the same generation. */
  replaceRun(placed: runTable.Run, run: runTable.Run): void {
    const started = this.started.get(placed);
    if (started !== undefined) {
      this.started.set(run, started);
    }
  }

  /** Records an event of a run; only the first one counts. */
  recordEvent(run: runTable.Run): void {
    const started = this.started.get(run);
    if (started === undefined || started.waitedMilliseconds !== undefined) {
      return;
    }
    const now = performance.now();
    const milliseconds = now - started.sentAt - started.readingMilliseconds;
    started.waitedMilliseconds = this.gate.ceilings.recordFirstEvent(
      started.instanceId,
      Math.max(0, milliseconds),
      started,
      now,
    );
  }

  /** Records that a run has left its engine. */
  recordEnd(run: runTable.Run): void {
    const started = this.started.get(run);
    if (started === undefined) {
      return;
    }
    const now = performance.now();
    this.started.delete(run);
    this.gate.recordEnd(run.endpoint);
    this.places.forget(run.endpoint);
    const {instanceId, sentAt, waitedMilliseconds} = started;
    const served = now - sentAt - (waitedMilliseconds ?? 0);
    const {work, customer, cost, expectedWork} = started.competitor;
    const actualWork = customerWork.workOf(cost, served);
    work.recordCorrection(customer, actualWork - expectedWork, sentAt, now);
    // A run that was moved has been in several engines.
    if (waitedMilliseconds !== undefined && instanceId === run.instanceId) {
      this.gate.ceilings.recordEnd(instanceId, served, now);
    }
  }

  /** Records that the engine turned the run away; returns whether other runs there may be the reason. */
  recordTurnedAway(
    run: runTable.Run,
    loads: runTable.GatewayLoadView,
  ): boolean {
    const started = this.started.get(run);
    if (started === undefined) {
      return false;
    }
    this.started.delete(run);
    const {instanceId, slots, sentAt, competitor} = started;
    const {work, customer, expectedWork} = competitor;
    work.recordCorrection(customer, -expectedWork, sentAt, performance.now());
    const others = (loads.get(instanceId)?.runs ?? 1) - 1;
    if (others <= 0) {
      return false;
    }
    this.gate.ceilings.recordRejection(
      instanceId,
      others,
      slots,
      performance.now(),
    );
    return true;
  }

  /** Counts generations that were held back in this step, and updates what peers are told. */
  recordWaiting(
    queue: generationQueue.GenerationQueue<waitingCall.WaitingCall>,
  ): void {
    const now = performance.now();
    const counts = new Map<string, Map<number, [number, number, number]>>();
    for (const waiting of queue.entries()) {
      const {competitor, urgency, heldBy} = waiting;
      if (heldBy !== undefined && !waiting.wasHeld) {
        waiting.wasHeld = true;
        this.tables.metrics.heldGenerations.inc({reason: heldBy});
      }
      if (competitor === undefined) {
        continue;
      }
      const {endpoint, customer, work} = competitor;
      const byUrgency = counts.get(endpoint) ?? new Map();
      const count = byUrgency.get(urgency) ?? [urgency, 0, 0];
      count[1]++;
      count[2] += work.deficit(customer, now) > 0 ? 1 : 0;
      byUrgency.set(urgency, count);
      counts.set(endpoint, byUrgency);
    }
    this.tables.demand.setOwnWaiting(
      new Map(
        [...counts].map(([endpoint, byUrgency]) => [
          endpoint,
          [...byUrgency.values()],
        ]),
      ),
    );
  }

  /** Undefined unless shares are fair, the configuration tells customers apart and the endpoint has engines. */
  private competitorOf(
    {call}: callContext.CallContext,
    expectedTokens: number,
  ): generationQueue.Competitor | undefined {
    const {engine} = call.endpoint ?? {};
    const {demand, follower, pace} = this.tables;
    const isShared = this.isFair && follower.routes?.needsKeys === true;
    if (engine === undefined || !isShared) {
      return undefined;
    }
    const {endpointName: endpoint, arrivedAt} = call;
    const customer = call.customer?.name ?? '';
    const {work} = demand.of(endpoint);
    work.recordArrival(customer, arrivedAt);
    const [first] = follower.instances.forEndpoint(endpoint);
    const cost: customerWork.GenerationCost = {
      promptTokens: call.caller.promptTokens,
      expectedTokens,
      capacityTokens: engine.memoryTokens || Infinity,
      slots: first === undefined ? Infinity : enginePlaces.slotsOf(first),
      readTokensPerMillisecond: readingBacklog.READ_TOKENS_PER_MILLISECOND,
    };
    const heldMilliseconds = expectedTokens * pace.get(endpoint);
    const firstArrivedAt = this.refusals.takeReturned(
      call.fingerprint,
      arrivedAt,
    );
    return {
      endpoint,
      customer,
      work,
      cost,
      expectedWork: customerWork.workOf(cost, heldMilliseconds),
      firstArrivedAt,
      lacksRoom: false,
    };
  }

  private queuedRuns(
    instance: instanceTable.Instance,
    now: number,
  ): number | undefined {
    const report = this.tables.reports.get(instance.record.id, now);
    const isFresh =
      report !== undefined && now - report.at <= MAX_QUEUE_AGE_MILLISECONDS;
    return isFresh ? report.queuedRuns : undefined;
  }
}

/** Whether another engine may have room. */
function isOfEngine(held: generationGate.HoldReason): boolean {
  const {Memory, Slots, Prompts, EngineQueue} = generationGate.HoldReason;
  return [Memory, Slots, Prompts, EngineQueue].includes(held);
}
