/** Finds requests at replicas of evacuated data centres, and too many requests at cold replicas. */
import * as requestLimit from '../standins/request_limit';

/** Length of the windows in which the requests at a cold replica are counted, in milliseconds. */
const COLD_WINDOW_MILLISECONDS = 1_000;

/** A request that reached a replica. */
export interface ArrivedRequest {
  readonly attempt: string;
  readonly replica: string;
  readonly at: number;
  /** Whether its gateway had been without faults for long enough to hear of a change at the time, and to obey it. */
  readonly isBoundBy: (changedAt: number) => boolean;
}

/** A broken rule. */
export interface BrokenRule {
  readonly promise: string;
  readonly attempt: string;
  readonly detail: string;
}

interface TimeRange {
  readonly from: number;
  to: number;
}

interface Evacuation {
  readonly dataCentre: string;
  readonly range: TimeRange;
}

interface ColdTime {
  readonly replica: string;
  readonly rampPerSecond: number;
  readonly range: TimeRange;
}

/** Which replicas must get nothing, or little, at which times. */
export class PlaceRules {
  private readonly dataCentres = new Map<string, string>();
  private readonly evacuations: Evacuation[] = [];
  private readonly coldTimes: ColdTime[] = [];

  recordReplica(replica: string, dataCentre: string): void {
    this.dataCentres.set(replica, dataCentre);
  }

  /** Records the order to evacuate a data centre; the returned function records its withdrawal. */
  beginEvacuation(dataCentre: string, at: number): (at: number) => void {
    const range: TimeRange = {from: at, to: Infinity};
    this.evacuations.push({dataCentre, range});
    return endsAt => (range.to = endsAt);
  }

  /** Records a replica that is cold from its registration on. */
  recordCold(
    replica: string,
    rampPerSecond: number,
    at: number,
    milliseconds: number,
  ): void {
    const range = {from: at, to: at + milliseconds};
    this.coldTimes.push({replica, rampPerSecond, range});
  }

  violations(requests: readonly ArrivedRequest[]): BrokenRule[] {
    return [
      ...requests.flatMap(each => this.checkEvacuations(each)),
      ...this.coldTimes.flatMap(each => checkCold(each, requests)),
    ];
  }

  private checkEvacuations({
    attempt,
    replica,
    at,
    isBoundBy,
  }: ArrivedRequest): BrokenRule[] {
    return this.evacuations
      .filter(
        ({dataCentre, range}) =>
          this.dataCentres.get(replica) === dataCentre &&
          at <= range.to &&
          isBoundBy(range.from),
      )
      .map(({dataCentre, range}) => ({
        promise: 'evacuated',
        attempt,
        detail: `reached ${replica} ${Math.round(at - range.from)} ms after data centre ${dataCentre} was evacuated`,
      }));
  }
}

/** The ramp binds all gateways together, whether they had faults or not. */
function checkCold(
  {replica, rampPerSecond, range}: ColdTime,
  requests: readonly ArrivedRequest[],
): BrokenRule[] {
  const times = requests
    .filter(each => each.replica === replica)
    .map(({at}) => at)
    .filter(at => at >= range.from && at <= range.to)
    .sort((left, right) => left - right);
  const most = requestLimit.mostInWindow(times, COLD_WINDOW_MILLISECONDS);
  const allowed = requestLimit.allowedWhileCold(rampPerSecond);
  const detail = `${replica} got ${most} requests in a second while cold, ${allowed} allowed`;
  return most > allowed ? [{promise: 'cold', attempt: '', detail}] : [];
}
