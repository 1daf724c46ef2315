/** tRPC router for the calls served by an entry. */
import * as trpcServer from '@trpc/server';
import * as zod from 'zod';
import * as claimPage from '../common/claim_page';
import * as configurationMessages from '../common/configuration_messages';
import * as peerCalls from '../common/peer_calls';

const runClaimSchema = zod.z.object({
  page: zod.z.string(),
  operation: claimPage.claimOperationSchema,
  /** Whether the page is read again before the operation. */
  isFresh: zod.z.boolean(),
});

/** A claim operation, forwarded to the entry that writes its page. */
export type RunClaim = zod.z.infer<typeof runClaimSchema>;

/** Outcome of a forwarded claim operation; one member is set. */
export interface RunClaimReply {
  readonly result?: claimPage.ClaimResult;
  readonly error?: claimPage.ClaimError;
}

/** Calls that an entry serves to other entries and to side processes. */
export abstract class EntryService {
  abstract gossip(input: peerCalls.Gossip): peerCalls.GossipReply;
  abstract sync(
    input: configurationMessages.SyncRequest,
  ): configurationMessages.SyncReply;
  abstract push(input: peerCalls.Push): void;
  abstract list(): peerCalls.InstanceListSnapshot;
  abstract runClaim(input: RunClaim): Promise<RunClaimReply>;
  abstract status(): peerCalls.StatusReport;
  abstract spans(traceId: string): readonly peerCalls.SpanReport[];
}

/** Creates the router that dispatches calls to the service. */
export function createEntryRouter(service: EntryService) {
  const trpc = trpcServer.initTRPC.create();
  const call = trpc.procedure;
  return trpc.router({
    gossip: call
      .input(peerCalls.gossipSchema)
      .mutation(({input}) => service.gossip(input)),
    sync: call
      .input(configurationMessages.syncRequestSchema)
      .mutation(({input}) => service.sync(input)),
    list: call.query(() => service.list()),
    push: call
      .input(peerCalls.pushSchema)
      .mutation(({input}) => service.push(input)),
    runClaim: call
      .input(runClaimSchema)
      .mutation(({input}) => service.runClaim(input)),
    status: call.query(() => service.status()),
    spans: call.input(zod.z.string()).query(({input}) => service.spans(input)),
  });
}

/** Type of the router, for clients. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
