/** The part of a generation's stream that comes from one instance. */
import * as growingBuffer from '../../base/common/growing_buffer';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as callContext from './call_context';
import * as callFault from './call_fault';
import * as callerAnswer from './caller_answer';
import * as discardedBody from './discarded_body';
import * as eventDelivery from './event_delivery';

/** Maximum size of a failure answer, in bytes. */
const MAX_FAILURE_BYTES = 65_536;

/** How a segment ended. */
export enum SegmentEnd {
  /** The stream is complete. */
  Completed = 'whole',
  /** The connection was lost or abandoned. */
  Broken = 'broken',
  /** The instance did not run the request. */
  NotRun = 'not-run',
  /** The instance answered with a failure, whose body was read. */
  Failed = 'failed',
}

/** A failure that an instance answered with. */
export interface FailureAnswer {
  readonly answer: instanceClient.InstanceResponse;
  readonly body: Buffer;
}

/** How the body of an event stream ended. */
interface BodyEnd {
  /** Whether the end of the body was marked, by a length or by chunks. */
  readonly isDelimited: boolean;
  /** Number of bytes received of an event that is not complete. */
  readonly pendingBytes: number;
  /** Why the body is known to be truncated; undefined if its framing is intact. */
  readonly truncation: string | undefined;
}

/** Receives the answer of one instance and delivers its events. */
export class StreamSegment {
  private failure: FailureAnswer | undefined;
  private bodyEnd: BodyEnd | undefined;
  private isStopExpected = false;
  private wasCancelled = false;
  /** Whether the request arrived at an instance that answered that it did not run it. */
  wasRejected = false;
  /** Whether it was the intended instance that answered so, as full ones do. */
  wasTurnedAway = false;
  /** Why no answer was received; undefined if one was. */
  error: instanceClient.SendError | undefined;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly delivery: eventDelivery.EventDelivery,
    private readonly exchange: instanceClient.Exchange,
  ) {}

  /** Sets whether the instance may be told to stop the run, upon which it closes the stream without its end. */
  expectStop(isExpected: boolean): void {
    this.isStopExpected = isExpected;
  }

  /** Closes the connection, which ends the segment. */
  cancel(): void {
    this.wasCancelled = true;
    this.exchange.cancel();
  }

  /** Whether the framing of the answer proves that its event stream is complete. */
  get hasMarkedEnd(): boolean {
    const {bodyEnd} = this;
    return (
      bodyEnd !== undefined &&
      bodyEnd.isDelimited &&
      bodyEnd.pendingBytes === 0 &&
      bodyEnd.truncation === undefined
    );
  }

  /** Whether this gateway closed the connection. */
  get isCancelled(): boolean {
    return this.wasCancelled;
  }

  /** Fields of the log line about the end of the segment. */
  describeEnd(): Readonly<Record<string, unknown>> {
    return {
      error: this.error,
      delimited: this.bodyEnd?.isDelimited,
      pending_bytes: this.bodyEnd?.pendingBytes,
      truncation: this.bodyEnd?.truncation,
    };
  }

  /** Delivers the failure that the instance answered with. */
  deliverFailure(): void {
    const {context} = this;
    const {answer, body} = this.failure!;
    if (context.endIfUnproven(answer)) {
      return;
    }
    context.log('instance-failure-delivered', {status: answer.status});
    const headers = callerAnswer.wholeAnswerHeaders(
      context.call.caller.method,
      answer,
      body.length,
    );
    context.response.writeHead(answer.status, headers);
    context.finish('instance-failure');
    context.response.end(body);
  }

  /** Resolves when the segment has ended. */
  async receive(): Promise<SegmentEnd> {
    const result = await this.exchange.response;
    if (result.isErr()) {
      this.error = result.error;
      return instanceClient.wasNeverSent(result.error)
        ? SegmentEnd.NotRun
        : SegmentEnd.Broken;
    }
    const answer = result.value;
    if (answer.isNotExecuted) {
      this.wasRejected = true;
      this.wasTurnedAway = !answer.isFromOtherInstance;
      discardedBody.discard(answer.body, this.exchange);
      return SegmentEnd.NotRun;
    }
    return answer.status === 200
      ? this.receiveEvents(answer)
      : this.collectFailure(answer);
  }

  private receiveEvents(
    answer: instanceClient.InstanceResponse,
  ): Promise<SegmentEnd> {
    return new Promise(resolve => {
      // `onData` and `onDidEnd` may still be called after the segment is abandoned.
      let isAbandoned = false;
      const listener: instanceClient.BodyListener = {
        onData: chunk => {
          const isIgnored = isAbandoned || this.context.isOver;
          if (!isIgnored && !this.delivery.push(answer, chunk)) {
            isAbandoned = true;
            this.cancel();
            resolve(SegmentEnd.Broken);
          }
        },
        onDidEnd: () => {
          this.recordBodyEnd(answer);
          if (!this.isWhole(answer)) {
            return resolve(SegmentEnd.Broken);
          }
          if (!isAbandoned && !this.context.isOver) {
            this.delivery.finish(answer);
          }
          resolve(SegmentEnd.Completed);
        },
        onDidFail: reason => {
          this.recordBodyEnd(answer, reason);
          resolve(SegmentEnd.Broken);
        },
      };
      callFault.listen(this.context, answer.body, listener, () =>
        resolve(SegmentEnd.Broken),
      );
    });
  }

  /** Whether the end of the body is the end of the stream. */
  private isWhole(answer: instanceClient.InstanceResponse): boolean {
    const {hasSegmentEvents, pendingBytes} = this.delivery;
    // Without a length or chunks the end of a connection alone is no sign of a complete stream.
    const isEndCredible =
      answer.body.isDelimited || (hasSegmentEvents && !this.isStopExpected);
    return isEndCredible && pendingBytes === 0;
  }

  private recordBodyEnd(
    answer: instanceClient.InstanceResponse,
    truncation?: string,
  ): void {
    this.bodyEnd = {
      isDelimited: answer.body.isDelimited,
      pendingBytes: this.delivery.pendingBytes,
      truncation,
    };
  }

  private collectFailure(
    answer: instanceClient.InstanceResponse,
  ): Promise<SegmentEnd> {
    return new Promise(resolve => {
      const body = new growingBuffer.GrowingBuffer();
      const listener: instanceClient.BodyListener = {
        onData: chunk => {
          if (body.length + chunk.length > MAX_FAILURE_BYTES) {
            this.cancel();
            return;
          }
          body.append(chunk);
        },
        onDidEnd: () => {
          this.failure = {answer, body: body.take()};
          resolve(SegmentEnd.Failed);
        },
        onDidFail: () => resolve(SegmentEnd.Broken),
      };
      callFault.listen(this.context, answer.body, listener, () =>
        resolve(SegmentEnd.Broken),
      );
    });
  }
}

/** Profile for an endpoint whose configuration describes no engine. */
export const DEFAULT_ENGINE: configuration.EngineProfile = {
  memoryTokens: 0,
  canMoveRuns: false,
  canBackUpRuns: false,
  tokensPerEvent: 1,
};
