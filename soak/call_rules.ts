/** Finds requests that were passed on and not answered, and versions of the configuration that are not in force. */
import * as configurationTimes from './configuration_times';
import * as faultTimes from './fault_times';
import * as runRules from './run_rules';

const {FaultKind} = faultTimes;

/** Time that gateways have for requests in flight when they are told to stop, in milliseconds. */
export const GRACE_MILLISECONDS = 6_000;
/** Time without a fault after which a gateway or a replica counts as sound, in milliseconds. */
const FAULT_FREE_MILLISECONDS = 3_000;
/** Time within which a version is in force at a gateway without faults, in milliseconds. */
const APPLY_LIMIT_MILLISECONDS = 3_000;
/** A request that has so little of its time left may end in any way, in milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 100;
/** Time after a stop from which requests whose replicas are still at work may be cut, in milliseconds. */
const LATE_WORK_MILLISECONDS = (GRACE_MILLISECONDS * 5) / 6;
/** Time after a stop within which such requests must have been sent, in milliseconds. */
const LATE_SEND_MILLISECONDS = 3_000;
/** Statuses by which a gateway states that the configuration does not allow a request. */
const DENIALS: ReadonlySet<number> = new Set([401, 403, 404]);

/** A request as its caller sent it. */
export interface SentCall {
  readonly attempt: string;
  readonly gateway: string;
  readonly key: string;
  /** Batch of routes of its path; undefined for a route that all versions have. */
  readonly routes: string | undefined;
  readonly at: number;
  /** When its connection was opened. */
  connectedAt: number;
  /** Time until its deadline. */
  readonly allowedMilliseconds: number;
}

/** How a request ended for its caller. */
export interface CallEnd {
  readonly at: number;
  /** 0 when no answer began. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly isFromReplica: boolean;
}

/** A broken rule. */
export interface BrokenRule {
  readonly promise: string;
  readonly attempt: string;
  readonly detail: string;
}

interface CallRecord {
  readonly call: SentCall;
  readonly replicas: Set<string>;
  hasCallerLeft: boolean;
  end: CallEnd | undefined;
}

/** What callers and replicas saw of each request, and what the configuration allowed. */
export class CallRules {
  readonly configuration = new configurationTimes.ConfigurationTimes();
  private readonly gateways = new Set<string>();
  private readonly records = new Map<string, CallRecord>();

  constructor(private readonly faults: faultTimes.FaultTimes) {}

  recordGateway(name: string): void {
    this.gateways.add(name);
  }

  recordSent(call: SentCall): void {
    const replicas = new Set<string>();
    this.records.set(call.attempt, {
      call,
      replicas,
      hasCallerLeft: false,
      end: undefined,
    });
  }

  /** Records that the request reached a replica, whatever became of it there. */
  recordArrival(attempt: string, replica: string): void {
    this.records.get(attempt)?.replicas.add(replica);
  }

  recordCallerLeft(attempt: string): void {
    const record = this.records.get(attempt);
    if (record !== undefined) {
      record.hasCallerLeft = true;
    }
  }

  recordEnd(attempt: string, end: CallEnd): void {
    const record = this.records.get(attempt);
    if (record !== undefined) {
      record.end = end;
    }
  }

  /** @param runsOf The runs of a request. */
  violations(
    runsOf: (attempt: string) => readonly runRules.Run[],
  ): BrokenRule[] {
    return [...this.records.values()].flatMap(record => {
      const {end, call} = record;
      if (end === undefined || record.hasCallerLeft) {
        return [];
      }
      return [
        ...this.checkAnswered(record, end, runsOf(call.attempt)),
        ...this.checkApplied(call, end),
      ];
    });
  }

  private checkAnswered(
    {call, replicas}: CallRecord,
    end: CallEnd,
    runs: readonly runRules.Run[],
  ): BrokenRule[] {
    const {attempt, gateway, at, allowedMilliseconds} = call;
    const isExcused =
      end.isComplete ||
      replicas.size === 0 ||
      end.at - at > allowedMilliseconds - DEADLINE_MARGIN_MILLISECONDS ||
      this.wasDisturbed(call, end) ||
      this.wasAnyFaulty([...replicas], at, end.at) ||
      this.endsWithGrace(call, end, runs);
    if (isExcused) {
      return [];
    }
    const outcome = end.status === 0 ? 'not answered' : `${end.status}, cut`;
    const detail = `passed on by ${gateway} to ${[...replicas].join(', ')}, ${outcome} after ${Math.round(end.at - at)} ms, at ${Math.round(end.at)} ms`;
    return [{promise: 'answered', attempt, detail}];
  }

  /** Whether the gateway was killed or paused, or bytes on the connection may have been lost. */
  private wasDisturbed(call: SentCall, end: CallEnd): boolean {
    const from = call.at - FAULT_FREE_MILLISECONDS;
    const connectedAt = Math.min(from, call.connectedAt);
    return (
      this.faults.had(call.gateway, from, end.at, [FaultKind.Disturbance]) ||
      this.faults.had(call.gateway, connectedAt, end.at, [FaultKind.CallerPath])
    );
  }

  private wasAnyFaulty(
    replicas: readonly string[],
    sentAt: number,
    endedAt: number,
  ): boolean {
    const from = sentAt - FAULT_FREE_MILLISECONDS;
    return [...replicas, faultTimes.ALL_REPLICAS].some(replica =>
      this.faults.had(replica, from, endedAt),
    );
  }

  /** Whether the gateway was told to stop, and a replica was still at work when the time for that was nearly over. */
  private endsWithGrace(
    {gateway, at}: SentCall,
    end: CallEnd,
    runs: readonly runRules.Run[],
  ): boolean {
    return this.faults
      .between(gateway, at - GRACE_MILLISECONDS, end.at, [FaultKind.Stop])
      .some(
        ({from}) =>
          at <= from + LATE_SEND_MILLISECONDS &&
          end.at >= from + LATE_WORK_MILLISECONDS &&
          runs.some(
            run =>
              run.at <= end.at && run.endedAt >= from + LATE_WORK_MILLISECONDS,
          ),
      );
  }

  private checkApplied(call: SentCall, end: CallEnd): BrokenRule[] {
    const {attempt, gateway, key, routes, at} = call;
    const keyTime = this.configuration.rangeOf(key);
    const routeTime = this.configuration.rangeOf(routes ?? '');
    const addedAt = Math.max(keyTime.from, routeTime.from);
    const removedAt = Math.min(keyTime.to, routeTime.to);
    const isDenied = DENIALS.has(end.status) && !end.isFromReplica;
    const isAllowedByAll = addedAt === -Infinity && removedAt > end.at;
    if (isDenied && isAllowedByAll) {
      const detail = `answered ${end.status} by ${gateway}, all versions allow it`;
      return [{promise: 'applied', attempt, detail}];
    }
    if (!this.isBound(call, end)) {
      return [];
    }
    const limit = at - APPLY_LIMIT_MILLISECONDS;
    if (isDenied && addedAt < limit && removedAt > end.at) {
      const detail = `answered ${end.status} by ${gateway} ${Math.round(at - addedAt)} ms after it was allowed, at ${Math.round(end.at)} ms`;
      return [{promise: 'applied', attempt, detail}];
    }
    if (end.isFromReplica && removedAt < limit) {
      const detail = `served by ${gateway} ${Math.round(at - removedAt)} ms after it was no longer allowed, at ${Math.round(end.at)} ms`;
      return [{promise: 'applied', attempt, detail}];
    }
    return [];
  }

  /** Whether the gateway was sound for long enough, and reached the store or a sound gateway that did. */
  private isBound({gateway, at}: SentCall, end: CallEnd): boolean {
    const from = at - FAULT_FREE_MILLISECONDS;
    const hadFault = (
      subject: string | undefined,
      kinds: readonly faultTimes.FaultKind[],
    ) => this.faults.had(subject, from, end.at, kinds);
    const own = [
      FaultKind.Disturbance,
      FaultKind.CallerPath,
      FaultKind.Stop,
    ] as const;
    return (
      !hadFault(undefined, [FaultKind.Disturbance]) &&
      !hadFault(gateway, own) &&
      [gateway, ...this.gateways].some(
        each => !hadFault(each, [...own, FaultKind.StorePath]),
      )
    );
  }
}
