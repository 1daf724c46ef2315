/** HTTP handler of /services/<route>/…: calls to service endpoints. */
import * as http from 'node:http';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as bodyStore from '../../base/node/body_store';
import * as httpServer from '../../base/node/http_server';
import * as settingsFile from '../../base/node/settings_file';
import * as tracing from '../../base/node/tracing';
import * as claimPage from '../../protocol/common/claim_page';
import * as routeSystem from '../../decision/common/route_system';
import * as sideCalls from '../../protocol/common/side_calls';
import * as callerAuthenticator from './caller_authenticator';
import * as idempotentCallService from './idempotent_call_service';
import * as entryMetrics from './entry_metrics';
import * as entrySettings from './entry_settings';
import * as serviceDispatcher from './service_dispatcher';

const SERVICES_PATH = '/services/';
/** Safe methods as defined by HTTP. */
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** Services that the handler uses. */
export interface ServiceHandlerDependencies {
  readonly authenticator: callerAuthenticator.CallerAuthenticator;
  readonly routes: routeSystem.RouteSystem;
  readonly dispatcher: serviceDispatcher.ServiceDispatcher;
  readonly idempotentCalls: idempotentCallService.IdempotentCallService;
  readonly metrics: entryMetrics.EntryMetrics;
  readonly tracer: tracing.Tracer;
  readonly settings: entrySettings.CallerSettings;
  readonly bodies: bodyStore.BodyStore;
}

/** Validates service calls, dispatches them and answers callers. */
export class ServiceHandler {
  constructor(private readonly dependencies: ServiceHandlerDependencies) {}

  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const trace = tracing.traceFromHeader(
      request.headers.traceparent as string | undefined,
    );
    response.setHeader('Rhubarbvane-Trace', trace.traceId);
    const reply = await this.serve(request, response, trace, Date.now());
    this.answer(response, reply);
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    trace: tracing.TraceContext,
    arrivedAt: number,
  ): Promise<sideCalls.ServiceReply> {
    const caller = this.dependencies.authenticator.authenticate(request);
    if (caller.isErr()) {
      return {failure: caller.error};
    }
    const span = this.dependencies.tracer.start('entry.admission', trace);
    const rest = request.url!.slice(SERVICES_PATH.length);
    const routeName = rest.split(/[/?]/, 1)[0];
    const route = this.dependencies.routes.forService(
      caller.value.customer,
      routeName,
      arrivedAt,
    );
    if (route.isErr()) {
      span.end();
      return {failure: route.error};
    }
    const body = await this.dependencies.bodies.read(
      request,
      this.dependencies.settings.max_body_bytes,
      caller.value.customer,
    );
    span.end();
    if (body.isErr()) {
      return {failure: body.error};
    }
    response.once('close', () => body.value.release());
    const key = request.headers['idempotency-key'];
    const path = rest.slice(routeName.length) || '/';
    const call: serviceDispatcher.ServiceRequest = {
      endpoints: route.value.route.endpoints,
      method: request.method ?? 'GET',
      path: path.startsWith('/') ? path : `/${path}`,
      contentType:
        request.headers['content-type'] ?? 'application/octet-stream',
      body: body.value.toBuffer(),
      idempotencyKey: typeof key === 'string' ? key : '',
      isRepeatable:
        route.value.route.repeatable ||
        SAFE_METHODS.includes(request.method ?? ''),
      timeoutMilliseconds:
        this.dependencies.settings.service_timeout_milliseconds,
      trace: span.context,
    };
    if (call.idempotencyKey === '' || SAFE_METHODS.includes(call.method)) {
      return this.dependencies.dispatcher.dispatch(
        call,
        serviceDispatcher.newAttemptId(),
      );
    }
    return this.serveIdempotent(
      call,
      caller.value.customer,
      routeName,
      arrivedAt,
    );
  }

  private serveIdempotent(
    call: serviceDispatcher.ServiceRequest,
    customer: string,
    routeName: string,
    arrivedAt: number,
  ): Promise<sideCalls.ServiceReply> | sideCalls.ServiceReply {
    const keyMilliseconds = claimPage.keyTime(call.idempotencyKey);
    if (keyMilliseconds === undefined) {
      const message = 'idempotency-key: expected a UUID of version 7';
      return {
        failure: failure.notRun(
          resultCode.ResultCode.InvalidIdempotencyKey,
          message,
        ),
      };
    }
    if (
      claimPage.keyAge(keyMilliseconds, arrivedAt) !== claimPage.KeyAge.Valid
    ) {
      const message =
        'idempotency-key: its time is outside the accepted window';
      return {
        failure: failure.notRun(
          resultCode.ResultCode.IdempotencyKeyTooOld,
          message,
        ),
      };
    }
    const content = [
      routeName,
      call.method,
      call.path,
      call.body.toString('base64'),
    ].join('\n');
    return this.dependencies.idempotentCalls.run(call, {
      customerKey: `${customer}/${call.idempotencyKey.toLowerCase()}`,
      keyMilliseconds,
      bodySha256: settingsFile.sha256(content).slice(0, 32),
    });
  }

  private answer(
    response: http.ServerResponse,
    reply: sideCalls.ServiceReply,
  ): void {
    if (reply.answer === undefined) {
      const cause = reply.failure!;
      this.dependencies.metrics.answers.inc({
        code: String(cause.code),
        work: cause.workState,
      });
      return httpServer.sendFailure(response, cause);
    }
    this.dependencies.metrics.answers.inc({
      code: String(resultCode.ResultCode.Ok),
      work: resultCode.WorkState.Ran,
    });
    const body = Buffer.from(reply.answer.bodyBase64, 'base64');
    response.writeHead(reply.answer.status, {
      'Content-Type': reply.answer.contentType,
      'Content-Length': body.length,
      'Rhubarbvane-Result': String(resultCode.ResultCode.Ok),
      'Rhubarbvane-Work': resultCode.WorkState.Ran,
    });
    response.end(body);
  }
}
