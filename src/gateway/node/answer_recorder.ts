/** Records what instances state in answers: rate limits, warm-up times, shutdowns and retry delays. */
import * as instanceClient from '../common/instance_client';
import * as backOff from '../common/availability/back_off';
import * as instanceTable from '../common/instance_table';
import * as instanceLimits from '../common/limits/instance_limits';
import * as warmUps from '../common/limits/warm_ups';
import * as gatewayMetrics from './gateway_metrics';
import * as stateFollower from './state_follower';

/** Logs one event about the instance that answered. */
export type AnswerLog = (
  event: string,
  fields: Readonly<Record<string, unknown>>,
) => void;

/** Updates the tables of one gateway from the answers that it gets. */
export class AnswerRecorder {
  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly limits: instanceLimits.InstanceLimits,
    private readonly cold: warmUps.WarmUps,
    private readonly backOffs: backOff.BackOffs,
    private readonly metrics: gatewayMetrics.GatewayMetrics,
  ) {}

  /** Records an answer to a request that was sent at the monotonic time. */
  record(
    instance: instanceTable.Instance,
    answer: instanceClient.InstanceResponse,
    sentAt: number,
    log: AnswerLog,
  ): void {
    if (answer.isFromOtherInstance) {
      return;
    }
    const now = performance.now();
    const life = instanceTable.lifeOf(instance.record);
    this.logUnreadable(answer, log);
    const {limit, status, isNotExecuted, warmUp, leaving} = answer;
    const isSuccess = !isNotExecuted && status < 500;
    this.limits.recordAnswer(life, {limit, isSuccess, sentAt}, now);
    if (warmUp?.milliseconds !== undefined) {
      this.cold.recordAnswer(life, warmUp.milliseconds, now);
    }
    if (leaving?.isLeaving) {
      const isNew = instance.drainingAt === undefined;
      this.metrics.instanceStates.inc({state: 'leaving'}, isNew ? 1 : 0);
      this.follower.markLeaving(instance, 'its own answer');
    }
    this.recordBackOff(life, answer, now, log);
  }

  private recordBackOff(
    life: string,
    {status, isNotExecuted, retryAfter}: instanceClient.InstanceResponse,
    now: number,
    log: AnswerLog,
  ): void {
    const milliseconds = retryAfter?.milliseconds;
    if (status !== 503 || !isNotExecuted || milliseconds === undefined) {
      return;
    }
    if (this.backOffs.record(life, milliseconds, now)) {
      this.metrics.instanceStates.inc({state: 'back-off'});
      log('instance-back-off', {
        retry_after: retryAfter!.text,
        back_off_ms: Math.round(milliseconds),
      });
    }
  }

  private logUnreadable(
    {
      limit,
      warmUp,
      leaving,
      retryAfter,
      status,
    }: instanceClient.InstanceResponse,
    log: AnswerLog,
  ): void {
    if (limit !== undefined && limit.requestsPerSecond === undefined) {
      this.countUnreadable('limit');
      log('instance-limit-unreadable', {value: limit.text});
    }
    if (warmUp !== undefined && warmUp.milliseconds === undefined) {
      this.countUnreadable('warm-up');
      log('instance-answer-unreadable', {part: 'warm-up', value: warmUp.text});
    }
    if (leaving?.isLeaving === false) {
      this.countUnreadable('leaving');
      log('instance-answer-unreadable', {part: 'leaving', value: leaving.text});
    }
    // Other answers with a date are valid, and of no use here.
    const isBackOff = status === 503 && retryAfter !== undefined;
    if (isBackOff && retryAfter.milliseconds === undefined) {
      this.countUnreadable('retry-after');
      log('instance-answer-unreadable', {
        part: 'retry-after',
        value: retryAfter.text,
      });
    }
  }

  private countUnreadable(part: string): void {
    this.metrics.unreadableStatements.inc({part});
  }
}
