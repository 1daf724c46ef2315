/**
 * Calls on the path of every request, as plain JSON over HTTP. tRPC took 4 to 8
 * times as much CPU time, see docs/design/protocol-between-processes.md.
 */
import * as http from 'node:http';
import * as zod from 'zod';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpClient from '../../base/node/http_client';
import * as httpServer from '../../base/node/http_server';
import * as sideCalls from '../common/side_calls';
import * as peerTransport from './peer_transport';
import * as sideRouter from './side_router';

const CALLS_PATH = '/calls/';
/** Largest body of a call, in bytes. */
export const BODY_LIMIT_BYTES = 128 * 1024 * 1024;

/** Names of the calls, as in their paths. */
enum DirectCall {
  StartAttempt = 'start-attempt',
  Release = 'release',
  RenewLink = 'renew-link',
  CallService = 'call-service',
}

/** Client for one side process. Each call rejects when there is no response. */
export class DirectSideClient {
  constructor(private readonly target: peerTransport.PeerTarget) {}

  startAttempt(input: sideCalls.StartAttempt): Promise<sideCalls.CallReply> {
    return this.call(DirectCall.StartAttempt, input);
  }

  release(input: sideCalls.AttemptReference): Promise<void> {
    return this.call(DirectCall.Release, input);
  }

  renewLink(input: sideCalls.RenewLink): Promise<void> {
    return this.call(DirectCall.RenewLink, input);
  }

  callService(
    input: sideCalls.ServiceCall,
    timeoutMilliseconds: number,
  ): Promise<sideCalls.ServiceReply> {
    return this.call(DirectCall.CallService, input, timeoutMilliseconds);
  }

  private async call<T>(
    name: DirectCall,
    input: object,
    timeoutMilliseconds = this.target.timeoutMilliseconds,
  ): Promise<T> {
    const body = JSON.stringify(input);
    this.target.traffic?.sent(name, body.length);
    const response = await httpClient.callHttp({
      method: 'POST',
      url: `http://${this.target.address}${CALLS_PATH}${name}`,
      headers: {
        authorization: `Bearer ${this.target.token}`,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
      body,
      timeoutMilliseconds,
    });
    this.target.traffic?.received(name, response.body.length);
    if (response.status !== 200) {
      throw new Error(`${name} failed with status ${response.status}`);
    }
    return JSON.parse(response.body.toString('utf8')) as T;
  }
}

/** Serves the calls to peers that present the deployment's token. */
export function mountDirectCalls(
  server: httpServer.HttpServer,
  token: string,
  service: sideRouter.SideService,
): void {
  const serve = <T>(
    name: DirectCall,
    schema: zod.ZodType<T>,
    handler: (input: T) => unknown,
  ) => {
    server.mount(
      CALLS_PATH + name,
      peerTransport.requireToken(token, (request, response) =>
        handleCall(server, request, response, schema, handler),
      ),
    );
  };
  serve(DirectCall.StartAttempt, sideCalls.startAttemptSchema, input =>
    service.startAttempt(input),
  );
  serve(DirectCall.Release, sideCalls.attemptReferenceSchema, input =>
    service.release(input),
  );
  serve(DirectCall.RenewLink, sideCalls.renewLinkSchema, input =>
    service.renewLink(input),
  );
  serve(DirectCall.CallService, sideCalls.serviceCallSchema, input =>
    service.callService(input),
  );
}

async function handleCall<T>(
  server: httpServer.HttpServer,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  schema: zod.ZodType<T>,
  handler: (input: T) => unknown,
): Promise<void> {
  const body = await server.bodies.read(request, BODY_LIMIT_BYTES, '');
  if (body.isErr()) {
    return httpServer.sendFailure(response, body.error);
  }
  const text = body.value.toBuffer().toString('utf8');
  body.value.release();
  const input = schema.safeParse(JSON.parse(text));
  if (!input.success) {
    const message = input.error.issues[0].message;
    return httpServer.sendFailure(
      response,
      failure.notRun(resultCode.ResultCode.InvalidField, message),
    );
  }
  const reply = await handler(input.data);
  httpServer.sendJson(response, 200, reply ?? {});
}
