/** Charges the retry budget for the repeated sends of one call, and counts them. */
import * as repeatEvent from '../common/repeat_event';
import * as gatewayServices from './gateway_services';

const {RepeatEvent} = repeatEvent;

/** Sends of one call, as far as the retry budget is concerned. */
export class RepeatCharges {
  private sends = 0;
  /** Sends that arrived at an instance, or may still arrive. */
  private arrivals = 0;

  constructor(
    private readonly services: Pick<
      gatewayServices.GatewayServices,
      'metrics' | 'retries' | 'retryUsage'
    >,
    private readonly endpoint: string,
  ) {}

  /** Whether the call was sent before. */
  get hasSent(): boolean {
    return this.sends > 0;
  }

  /** Records a send; `isContinuation` if it goes on from a copy of the run. */
  recordSend(isContinuation: boolean): void {
    if (this.hasSent) {
      this.count(isContinuation ? RepeatEvent.Continued : RepeatEvent.Sent);
    }
    this.sends++;
    this.arrivals++;
  }

  /** Records that a send certainly did not arrive, so that the next one may be the first arrival. */
  recordNeverSent(): void {
    this.arrivals--;
  }

  /** Whether the call may be sent again now, as far as the budget is concerned. */
  isAvailable(): boolean {
    const {retries} = this.services;
    const isAvailable =
      this.arrivals === 0 ||
      retries.isAvailable(this.endpoint, performance.now());
    if (!isAvailable) {
      this.count(RepeatEvent.Denied);
    }
    return isAvailable;
  }

  /** Charges a repeat that is sent now, since the budget bounds arrivals beyond the first; returns false if nothing is left of it. */
  tryCharge(): boolean {
    if (this.arrivals === 0) {
      return true;
    }
    const {retries} = this.services;
    const isCharged = retries.tryAcquire(this.endpoint, performance.now());
    this.count(isCharged ? RepeatEvent.Charged : RepeatEvent.Denied);
    return isCharged;
  }

  /** Whether a run may be sent to the instance of its copy. */
  mayContinue(): boolean {
    return this.services.retries.mayContinue(this.endpoint, performance.now());
  }

  /** Charges a run that the instance of its copy rejected, since rejected arrivals count. */
  recordRejectedContinuation(): void {
    this.services.retries.chargeRejection(this.endpoint, performance.now());
    this.count(RepeatEvent.ContinuationRejected);
  }

  private count(event: repeatEvent.RepeatEvent): void {
    this.services.metrics.repeats.inc({event});
    this.services.retryUsage.record(this.endpoint, event);
  }
}
