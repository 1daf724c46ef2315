/** tRPC over node:http, authenticated by the deployment's token. */
import * as http from 'node:http';
import * as trpcClient from '@trpc/client';
import * as trpcServer from '@trpc/server';
import * as standalone from '@trpc/server/adapters/standalone';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpClient from '../../base/node/http_client';
import * as httpServer from '../../base/node/http_server';
import * as settingsFile from '../../base/node/settings_file';
import * as entryRouter from './entry_router';
import * as sideRouter from './side_router';

/** Path prefix of the routers. */
export const PEER_PATH = '/trpc/';

/** Counts bytes of control messages by kind and direction. */
export abstract class TrafficCounter {
  abstract sent(kind: string, bytes: number): void;
  abstract received(kind: string, bytes: number): void;
}

/** Client of a side process. */
export type SideClient = trpcClient.TRPCClient<sideRouter.SideRouter>;

/** Client of an entry. */
export type EntryClient = trpcClient.TRPCClient<entryRouter.EntryRouter>;

/** Address, token and time limit for calls to a peer. */
export interface PeerTarget {
  /** IP address and port. */
  readonly address: string;
  readonly token: string;
  readonly timeoutMilliseconds: number;
  readonly traffic?: TrafficCounter;
}

/** Creates a client of the side process at the address. */
export function createSideClient(target: PeerTarget): SideClient {
  return trpcClient.createTRPCClient<sideRouter.SideRouter>({
    links: [createTrpcLink(target)],
  });
}

/** Creates a client of the entry at the address. */
export function createEntryClient(target: PeerTarget): EntryClient {
  return trpcClient.createTRPCClient<entryRouter.EntryRouter>({
    links: [createTrpcLink(target)],
  });
}

function createTrpcLink(target: PeerTarget) {
  return trpcClient.httpLink({
    url: `http://${target.address}/trpc`,
    headers: {authorization: `Bearer ${target.token}`},
    fetch: (url, options) =>
      fetchOverHttp(target, String(url), options as FetchOptions),
  });
}

interface FetchOptions {
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
}

async function fetchOverHttp(
  target: PeerTarget,
  url: string,
  options: FetchOptions,
) {
  const kind = url.slice(url.lastIndexOf('/') + 1).split('?', 1)[0];
  target.traffic?.sent(kind, (options.body?.length ?? 0) + url.length);
  const response = await httpClient.callHttp({
    method: options.method ?? 'GET',
    url,
    headers: {
      ...options.headers,
      'content-length': Buffer.byteLength(options.body ?? ''),
    },
    body: options.body,
    timeoutMilliseconds: target.timeoutMilliseconds,
  });
  target.traffic?.received(kind, response.body.length);
  const text = response.body.toString('utf8');
  return {
    ok: response.status >= 200 && response.status < 300,
    status: response.status,
    text: () => Promise.resolve(text),
    json: () => Promise.resolve(JSON.parse(text) as unknown),
  };
}

/** Whether the error proves that the peer never received the call. */
export function neverReached(error: unknown): boolean {
  const cause =
    error instanceof trpcClient.TRPCClientError ? error.cause : error;
  return httpClient.neverSent(cause);
}

/** Serves a router to peers that present the deployment's token. */
export function mountRouter(
  server: httpServer.HttpServer,
  token: string,
  router: trpcServer.AnyRouter,
): void {
  const handler = standalone.createHTTPHandler({router, basePath: PEER_PATH});
  server.mount(
    PEER_PATH,
    requireToken(token, (request, response) => void handler(request, response)),
  );
}

/** Wraps a handler so that requests without the deployment's token are refused. */
export function requireToken(
  token: string,
  handler: httpServer.RequestHandler,
): httpServer.RequestHandler {
  return (request, response) => {
    const receivedToken = httpServer.bearerToken(request);
    if (
      receivedToken === undefined ||
      !settingsFile.secretsEqual(receivedToken, token)
    ) {
      const refusal = failure.notRun(
        resultCode.ResultCode.Unauthenticated,
        'authorization: token of the deployment',
      );
      return httpServer.sendFailure(response, refusal);
    }
    return handler(request, response);
  };
}
