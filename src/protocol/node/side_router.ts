/** tRPC router for the calls served by a side process. */
import * as trpcServer from '@trpc/server';
import * as zod from 'zod';
import * as peerCalls from '../common/peer_calls';
import * as sideCalls from '../common/side_calls';

/** Calls that a side process serves to entries. */
export abstract class SideService {
  abstract startAttempt(input: sideCalls.StartAttempt): sideCalls.CallReply;
  abstract tombstoneAttempt(
    input: sideCalls.AttemptReference,
  ): sideCalls.TombstoneReply;
  abstract attach(input: sideCalls.Attach): sideCalls.CallReply;
  abstract detach(input: sideCalls.Detach): void;
  /** Cancels the attempt if it is open, and discards its output. */
  abstract release(input: sideCalls.AttemptReference): void;
  abstract renewLink(input: sideCalls.RenewLink): void;
  abstract callService(
    input: sideCalls.ServiceCall,
  ): Promise<sideCalls.ServiceReply>;
  abstract order(input: sideCalls.EngineOrder): Promise<sideCalls.CallReply>;
  abstract status(): peerCalls.StatusReport;
  abstract spans(traceId: string): readonly peerCalls.SpanReport[];
}

/** Creates the router that dispatches calls to the service. */
export function createSideRouter(service: SideService) {
  const trpc = trpcServer.initTRPC.create();
  const call = trpc.procedure;
  return trpc.router({
    tombstoneAttempt: call
      .input(sideCalls.attemptReferenceSchema)
      .mutation(({input}) => service.tombstoneAttempt(input)),
    attach: call
      .input(sideCalls.attachSchema)
      .mutation(({input}) => service.attach(input)),
    detach: call
      .input(sideCalls.detachSchema)
      .mutation(({input}) => service.detach(input)),
    order: call
      .input(sideCalls.engineOrderSchema)
      .mutation(({input}) => service.order(input)),
    status: call.query(() => service.status()),
    spans: call.input(zod.z.string()).query(({input}) => service.spans(input)),
  });
}

/** Type of the router, for clients. */
export type SideRouter = ReturnType<typeof createSideRouter>;
