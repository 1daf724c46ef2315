/** Dispatches service calls to side processes. */
import * as crypto from 'node:crypto';
import * as deadline from '../../base/common/deadline';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as tracing from '../../base/node/tracing';
import * as endpointTable from '../../decision/common/endpoint_table';
import * as sideCalls from '../../protocol/common/side_calls';
import * as directCalls from '../../protocol/node/direct_calls';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as linkManager from './link_manager';

const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MILLISECONDS = 200;
/** Time added to the timeout of the service for the hop to the side process, in milliseconds. */
const HOP_ALLOWANCE_MILLISECONDS = 1_000;
/** Maximum time that a call waits for a link that is being opened, in milliseconds. */
const PENDING_LINK_MILLISECONDS = 2_000;
const PENDING_POLL_MILLISECONDS = 20;

/** A call to a service endpoint. */
export interface ServiceRequest {
  readonly endpoints: readonly string[];
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly idempotencyKey: string;
  /** Whether the call may run more than once. */
  readonly isRepeatable: boolean;
  readonly timeoutMilliseconds: number;
  readonly trace: tracing.TraceContext;
}

/** Creates an attempt identifier. */
export function newAttemptId(): string {
  return crypto.randomBytes(9).toString('base64url');
}

/** Chooses an instance for each call, and retries the call where that is safe. */
export class ServiceDispatcher {
  private rotation = 0;
  private running = 0;

  constructor(
    private readonly links: linkManager.LinkManager,
    private readonly token: string,
    private readonly traffic: peerTransport.TrafficCounter,
    private readonly tracer: tracing.Tracer,
  ) {}

  /** Number of calls that have no answer yet. */
  get runningCount(): number {
    return this.running;
  }

  /** Runs the call. Unless it is repeatable, another instance is tried only if the call provably did not run. */
  async dispatch(
    call: ServiceRequest,
    attempt: string,
  ): Promise<sideCalls.ServiceReply> {
    this.running++;
    try {
      return await this.tryInstances(call, attempt);
    } finally {
      this.running--;
    }
  }

  private async tryInstances(
    call: ServiceRequest,
    attempt: string,
  ): Promise<sideCalls.ServiceReply> {
    const excluded = new Set<string>();
    let lastReply: sideCalls.ServiceReply = {};
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      const endpointInstance = await this.choose(call.endpoints, excluded);
      if (endpointInstance === undefined) {
        break;
      }
      excluded.add(endpointInstance.instance);
      lastReply = await this.tryInstance(
        call,
        `${attempt}.${tries}`,
        endpointInstance,
      );
      const work = lastReply.failure?.workState;
      const mayRepeat =
        call.isRepeatable && work === resultCode.WorkState.Unknown;
      if (work !== resultCode.WorkState.NotRun && !mayRepeat) {
        return lastReply;
      }
    }
    const noEndpoint = failure.notRun(
      resultCode.ResultCode.NoEndpoint,
      'no endpoint instance accepts work',
      2,
    );
    return lastReply.failure === undefined ? {failure: noEndpoint} : lastReply;
  }

  private async choose(
    endpoints: readonly string[],
    excluded: ReadonlySet<string>,
  ): Promise<endpointTable.EndpointInstance | undefined> {
    const until = performance.now() + PENDING_LINK_MILLISECONDS;
    for (;;) {
      const candidates = [...this.links.table.all()].filter(
        candidate =>
          endpoints.includes(candidate.endpoint) &&
          !excluded.has(candidate.instance),
      );
      const usable = candidates.filter(endpointTable.acceptsWork);
      if (usable.length > 0) {
        return this.leastLoaded(usable);
      }
      const isPending = candidates.some(
        candidate => candidate.state === endpointTable.LinkState.Connecting,
      );
      if (!isPending || performance.now() > until) {
        return undefined;
      }
      await deadline.delay(PENDING_POLL_MILLISECONDS);
    }
  }

  private leastLoaded(
    usable: readonly endpointTable.EndpointInstance[],
  ): endpointTable.EndpointInstance {
    this.rotation++;
    const start = this.rotation % usable.length;
    const rotated = [...usable.slice(start), ...usable.slice(0, start)];
    return rotated.reduce((best, candidate) =>
      candidate.load!.running < best.load!.running ? candidate : best,
    );
  }

  /**
   * Repeats the hand-off of one attempt until its outcome is known or the
   * timeout has passed. The side process runs an attempt at most once.
   */
  private async tryInstance(
    call: ServiceRequest,
    attempt: string,
    endpointInstance: endpointTable.EndpointInstance,
  ): Promise<sideCalls.ServiceReply> {
    const span = this.tracer.start('entry.handoff', call.trace);
    const incarnation = endpointInstance.incarnation;
    const input = toServiceCall(call, attempt, incarnation, span.context);
    const until =
      performance.now() + call.timeoutMilliseconds + HOP_ALLOWANCE_MILLISECONDS;
    let mayHaveBeenSent = false;
    while (performance.now() < until) {
      try {
        const reply = await this.createClient(
          endpointInstance.address,
        ).callService(input, Math.max(1, until - performance.now()));
        span.end();
        return mayHaveBeenSent ? replyAfterLostHandoff(reply) : reply;
      } catch (error) {
        const isUnsent = peerTransport.neverReached(error);
        mayHaveBeenSent = mayHaveBeenSent || !isUnsent;
        if (!mayHaveBeenSent) {
          span.end({error: 'not sent'});
          return {
            failure: failure.notRun(
              resultCode.ResultCode.EndpointLost,
              'the side process could not be reached',
              1,
            ),
          };
        }
        if (this.isGone(endpointInstance, incarnation, isUnsent)) {
          break;
        }
        await deadline.delay(RETRY_DELAY_MILLISECONDS);
      }
    }
    span.end({error: 'outcome unknown'});
    const message = 'the endpoint was lost before it answered';
    return {
      failure: failure.unknownOutcome(
        resultCode.ResultCode.OutcomeUnknown,
        message,
      ),
    };
  }

  private isGone(
    endpointInstance: endpointTable.EndpointInstance,
    incarnation: string,
    isUnsent: boolean,
  ): boolean {
    const current = this.links.table.get(endpointInstance.instance);
    const isReplaced =
      current === undefined || current.incarnation !== incarnation;
    return (
      isReplaced || (isUnsent && current.state === endpointTable.LinkState.Lost)
    );
  }

  private createClient(address: string): directCalls.DirectSideClient {
    return new directCalls.DirectSideClient({
      address,
      token: this.token,
      timeoutMilliseconds: 0,
      traffic: this.traffic,
    });
  }
}

/**
 * After a lost hand-off only the incarnation that may have received it can
 * prove that the call did not run. If that incarnation was replaced, the
 * outcome is unknown.
 */
function replyAfterLostHandoff(
  reply: sideCalls.ServiceReply,
): sideCalls.ServiceReply {
  if (reply.failure?.code !== resultCode.ResultCode.WrongIncarnation) {
    return reply;
  }
  const message = 'the side process was replaced during the call';
  return {
    failure: failure.unknownOutcome(
      resultCode.ResultCode.OutcomeUnknown,
      message,
    ),
  };
}

function toServiceCall(
  call: ServiceRequest,
  attempt: string,
  incarnation: string,
  context: tracing.TraceContext,
): sideCalls.ServiceCall {
  return {
    attempt,
    incarnation,
    traceparent: tracing.traceHeader(context),
    method: call.method,
    path: call.path,
    contentType: call.contentType,
    bodyBase64: call.body.toString('base64'),
    idempotencyKey: call.idempotencyKey,
    timeoutMilliseconds: call.timeoutMilliseconds,
  };
}
