/** Calls from an entry to the side processes that run its attempts. */
import * as neverthrow from 'neverthrow';
import * as tracing from '../../base/node/tracing';
import * as generationMachine from '../../decision/common/generation_machine';
import * as generationRequest from '../../protocol/common/generation_request';
import * as sideCalls from '../../protocol/common/side_calls';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as linkManager from './link_manager';

/** Why a call got no reply. */
export enum CallError {
  /** The call was not delivered to the side process. */
  NeverReached = 'never-reached',
  /** The call may have been delivered to the side process. */
  Lost = 'lost',
}

/** Sends calls about attempts through the link clients. */
export class AttemptClient {
  constructor(
    private readonly links: linkManager.LinkManager,
    private readonly tracer: tracing.Tracer,
  ) {}

  /** Starts an attempt at its side process. */
  async start(
    target: generationMachine.AttemptTarget,
    request: generationRequest.GenerationRequest,
    trace: tracing.TraceContext,
  ): Promise<neverthrow.Result<sideCalls.CallReply, CallError>> {
    const span = this.tracer.start('entry.handoff', trace);
    const result = await this.call(target, client =>
      client.direct.startAttempt({
        attempt: target.attempt,
        incarnation: target.incarnation,
        link: client.linkId,
        traceparent: tracing.traceHeader(span.context),
        request,
      }),
    );
    const isAccepted = result.isOk() && result.value.isAccepted;
    span.end({instance: target.instance, accepted: String(isAccepted)});
    return result;
  }

  /** Withdraws an attempt whose hand-off got no reply. */
  tombstone(
    target: generationMachine.AttemptTarget,
  ): Promise<neverthrow.Result<sideCalls.TombstoneReply, CallError>> {
    return this.call(target, client =>
      client.calls.tombstoneAttempt.mutate(target),
    );
  }

  /** Requests the output from an index on. */
  attach(
    target: generationMachine.AttemptTarget,
    fromIndex: number,
    customer: string,
  ): Promise<neverthrow.Result<sideCalls.CallReply, CallError>> {
    return this.call(target, client =>
      client.calls.attach.mutate({
        ...target,
        link: client.linkId,
        fromIndex,
        customer,
      }),
    );
  }

  /** Pauses the output for a caller that reads slowly. */
  pause(target: generationMachine.AttemptTarget): void {
    void this.call(target, client =>
      client.calls.detach.mutate({...target, isPause: true}),
    );
  }

  /** Releases an attempt: it ends at once or, with isGraceful, after the time in which the caller may reconnect. */
  release(target: generationMachine.AttemptTarget, isGraceful: boolean): void {
    void this.call(target, client =>
      isGraceful
        ? client.calls.detach.mutate({...target, isPause: false})
        : client.direct.release(target),
    );
  }

  /** Releases an attempt whose answer was sent. A resumable one is kept for the short time in which the caller may miss its end and reconnect. */
  releaseDelivered(
    target: generationMachine.AttemptTarget,
    isResumable: boolean,
  ): void {
    if (!isResumable) {
      return this.release(target, false);
    }
    void this.call(target, client =>
      client.calls.detach.mutate({
        ...target,
        isPause: false,
        isDelivered: true,
      }),
    );
  }

  private async call<T>(
    target: generationMachine.AttemptTarget,
    action: (
      client: NonNullable<ReturnType<linkManager.LinkManager['client']>>,
    ) => Promise<T>,
  ): Promise<neverthrow.Result<T, CallError>> {
    const client = this.links.client(target.instance);
    if (client === undefined) {
      return neverthrow.err(CallError.NeverReached);
    }
    try {
      return neverthrow.ok(await action(client));
    } catch (error) {
      const isUnsent = peerTransport.neverReached(error);
      return neverthrow.err(isUnsent ? CallError.NeverReached : CallError.Lost);
    }
  }
}
