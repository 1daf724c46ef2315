/** One send of a call to an instance of a plain service. */
import * as blockPool from '../../base/node/block_pool';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as callContext from './call_context';
import * as callFault from './call_fault';
import * as callerSink from './caller_sink';
import * as discardedBody from './discarded_body';

const {SendError} = instanceClient;

/** Maximum size of an answer, in bytes; these services send no larger ones. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Outcome of one send. */
export interface SendOutcome {
  readonly answer?: instanceClient.InstanceResponse;
  /** Released when the caller's response is closed. */
  readonly body?: blockPool.PooledBuffer;
  readonly error?: instanceClient.SendError;
}

/** Sends the request when created, and collects the whole answer. */
export class PlainSend {
  /** Monotonic milliseconds. */
  readonly startedAt = performance.now();
  readonly outcome: Promise<SendOutcome>;
  private readonly exchange: instanceClient.Exchange;
  private isAbandoned = false;

  constructor(
    private readonly context: callContext.CallContext,
    readonly instance: instanceTable.Instance,
  ) {
    instance.openRequests++;
    this.recordOpen(1);
    this.exchange = context.send(instance, {
      urgency: undefined,
      lastEventId: undefined,
      continuation: undefined,
      backupAddress: undefined,
    });
    this.outcome = this.collect();
  }

  /** Closes the connection, upon which the instance drops the request. */
  cancel(): void {
    this.exchange.cancel();
  }

  /** Cancels the send because another one was answered; counts as cancelled even if a part of its answer has arrived. */
  abandon(): void {
    this.isAbandoned = true;
    this.exchange.cancel();
  }

  private async collect(): Promise<SendOutcome> {
    const {context, exchange} = this;
    let hasTimedOut = false;
    const timer = setTimeout(
      () => {
        hasTimedOut = true;
        exchange.cancel();
      },
      Math.max(0, context.remainingMilliseconds),
    );
    const outcome = await this.receive();
    clearTimeout(timer);
    this.instance.openRequests--;
    this.recordOpen(-1);
    if (hasTimedOut || isGoodAnswer(outcome)) {
      const now = performance.now();
      context.services.speeds.recordAnswer(
        this.instance,
        now - this.startedAt,
        now,
      );
    }
    const isCut = this.isAbandoned && outcome.answer === undefined;
    context.services.metrics.sends.inc({
      outcome: isCut ? SendError.Cancelled : outcomeLabel(outcome),
    });
    return hasTimedOut && outcome.error === SendError.Cancelled
      ? {error: SendError.TimedOut}
      : outcome;
  }

  /** Waits for the whole answer. */
  private async receive(): Promise<SendOutcome> {
    const {context, exchange} = this;
    const {buffers} = context.services;
    const result = await exchange.response;
    if (result.isErr()) {
      return {error: result.error};
    }
    const answer = result.value;
    if (answer.isNotExecuted) {
      discardedBody.discard(answer.body, exchange);
      return {answer};
    }
    const body = new blockPool.PooledBuffer(context.services.blocks);
    context.response.once('close', () => body.release());
    const held = new callerSink.HeldBytes(
      context,
      () => body.memoryWith(0),
      () => body.release(),
    );
    const outcome = await new Promise<SendOutcome>(resolve => {
      const listener: instanceClient.BodyListener = {
        onData(chunk) {
          if (body.length + chunk.length > MAX_ANSWER_BYTES) {
            exchange.cancel();
            return;
          }
          const memoryBefore = body.memoryWith(0);
          body.append(chunk);
          const isLarge = body.length > blockPool.SMALL_BYTES;
          if (isLarge && body.memoryWith(0) !== memoryBefore) {
            buffers?.update(held);
            // Connections of answers that are cut off close before more is read of others.
            answer.body.pause();
            setImmediate(() => answer.body.resume());
          }
        },
        onDidEnd: () => resolve({answer, body}),
        onDidFail: () => resolve({error: SendError.ConnectionLost}),
      };
      callFault.listen(context, answer.body, listener, () =>
        resolve({error: SendError.Cancelled}),
      );
    });
    buffers?.remove(held);
    return outcome;
  }

  private recordOpen(difference: 1 | -1): void {
    const {services, call} = this.context;
    services.hedges?.recordOpen(
      call.endpointName,
      difference,
      performance.now(),
    );
  }
}

/** Whether the instance ran the request and did not fail it, so that the time taken says how quick it is. */
function isGoodAnswer({answer}: SendOutcome): boolean {
  return answer !== undefined && !answer.isNotExecuted && answer.status < 500;
}

function outcomeLabel(outcome: SendOutcome): string {
  if (outcome.answer === undefined) {
    return outcome.error ?? 'none';
  }
  return outcome.answer.isNotExecuted
    ? 'rejected'
    : `status-${outcome.answer.status}`;
}
