/** HTTP handler of /v1/completions. */
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as bodyStore from '../../base/node/body_store';
import * as httpServer from '../../base/node/http_server';
import * as tracing from '../../base/node/tracing';
import * as customerLimits from '../../decision/common/customer_limits';
import * as poisonTable from '../../decision/common/poison_table';
import * as routeSystem from '../../decision/common/route_system';
import * as generationRequest from '../../protocol/common/generation_request';
import * as callerAuthenticator from './caller_authenticator';
import * as completionRequest from './completion_request';
import * as completionSinks from './completion_sinks';
import * as entryMetrics from './entry_metrics';
import * as entrySettings from './entry_settings';
import * as eventId from './event_id';
import * as generations from './generation';
import * as generationService from './generation_service';
import * as poisonService from './poison_service';

/** Services that the handler uses. */
export interface CompletionHandlerDependencies {
  readonly authenticator: callerAuthenticator.CallerAuthenticator;
  readonly routes: routeSystem.RouteSystem;
  readonly generations: generationService.GenerationService;
  readonly poison: poisonService.PoisonService;
  readonly metrics: entryMetrics.EntryMetrics;
  readonly tracer: tracing.Tracer;
  readonly settings: entrySettings.CallerSettings;
  readonly entryCount: () => number;
  readonly bodies: bodyStore.BodyStore;
}

interface AdmittedCompletion {
  readonly request: generationRequest.GenerationRequest;
  readonly endpoints: readonly string[];
  readonly reservedTokens: number;
}

/** Validates requests, starts or resumes generations and answers callers. */
export class CompletionHandler {
  private readonly limits = new customerLimits.CustomerLimits();

  constructor(private readonly dependencies: CompletionHandlerDependencies) {}

  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const trace = tracing.traceFromHeader(
      request.headers.traceparent as string | undefined,
    );
    response.setHeader('Rhubarbvane-Trace', trace.traceId);
    const arrivedAt = Date.now();
    const cause = await this.serve(request, response, trace, arrivedAt);
    if (cause !== undefined) {
      this.dependencies.metrics.answers.inc({
        code: String(cause.code),
        work: cause.workState,
      });
      httpServer.sendFailure(response, cause);
    }
  }

  /** Returns the failure if the request is refused. */
  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    trace: tracing.TraceContext,
    arrivedAt: number,
  ): Promise<failure.Failure | undefined> {
    const lastEventId = request.headers['last-event-id'];
    const isResume = typeof lastEventId === 'string';
    if (request.method !== 'POST' && !(request.method === 'GET' && isResume)) {
      return failure.notRun(
        resultCode.ResultCode.UnknownPath,
        `method: ${request.method} is not supported on this path`,
      );
    }
    const caller = this.dependencies.authenticator.authenticate(request);
    if (caller.isErr()) {
      return caller.error;
    }
    const held = await this.dependencies.bodies.read(
      request,
      this.dependencies.settings.max_body_bytes,
      caller.value.customer,
    );
    if (held.isErr()) {
      return held.error;
    }
    // The prompt in it is held for as long as its generation is delivered.
    response.once('close', () => held.value.release());
    const body = held.value.toBuffer();
    if (isResume) {
      return this.resume(lastEventId, body, caller.value, response, trace);
    }
    const span = this.dependencies.tracer.start('entry.admission', trace);
    const parsed = completionRequest.parseCompletion(body, this.defaults);
    const admitted = parsed.andThen(completion =>
      this.admit(completion, caller.value, arrivedAt),
    );
    span.end({admitted: String(admitted.isOk())});
    if (parsed.isErr() || admitted.isErr()) {
      return parsed.isErr() ? parsed.error : admitted._unsafeUnwrapErr();
    }
    this.start(parsed.value, admitted.value, response, span.context);
    return undefined;
  }

  private get defaults(): completionRequest.CompletionDefaults {
    const settings = this.dependencies.settings;
    return {
      maxTokens: settings.default_max_tokens,
      quickMaxTokens: settings.quick_max_tokens,
    };
  }

  /** Checks wind-down dates, limits and poison suspicion once, before the request is first placed. */
  private admit(
    completion: completionRequest.CompletionRequest,
    caller: callerAuthenticator.Caller,
    arrivedAt: number,
  ): neverthrow.Result<AdmittedCompletion, failure.Failure> {
    const route = this.dependencies.routes.forModel(
      caller.customer,
      completion.model,
      arrivedAt,
    );
    if (route.isErr()) {
      return neverthrow.err(route.error);
    }
    const promptTokens = generationRequest.estimateTokens(completion.prompt);
    const contextTokens = this.dependencies.routes.contextTokens(
      completion.model,
    );
    if (promptTokens + completion.maxTokens > contextTokens) {
      const message = `max_tokens: prompt and output exceed the context of ${contextTokens} tokens`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.ContextTooLong, message),
      );
    }
    const fingerprint = completionRequest.fingerprintOf(completion);
    if (
      this.dependencies.poison.suspicion(fingerprint) ===
      poisonTable.Suspicion.Blocked
    ) {
      const message = 'endpoint instances crashed while running this request';
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.PoisonRequest, message),
      );
    }
    const expected = this.dependencies.generations.predictor
      .distribution(caller.customer, route.value.name)
      .expectedRemaining(0, completion.maxTokens);
    const reservedTokens = promptTokens + expected;
    const entries = this.dependencies.entryCount();
    const refusal = this.limits.admit(
      caller.customer,
      reservedTokens,
      caller.maxOutstandingTokens,
      entries,
    );
    if (refusal !== undefined) {
      return neverthrow.err(refusal);
    }
    const request: generationRequest.GenerationRequest = {
      customer: caller.customer,
      route: route.value.name,
      model: completion.model,
      prompt: completion.prompt,
      promptTokens,
      maxTokens: completion.maxTokens,
      requestClass: completion.requestClass,
      fingerprint,
      isSuspect: false,
      weight: caller.weight,
    };
    return neverthrow.ok({
      request,
      endpoints: route.value.route.endpoints,
      reservedTokens,
    });
  }

  private start(
    completion: completionRequest.CompletionRequest,
    admitted: AdmittedCompletion,
    response: http.ServerResponse,
    trace: tracing.TraceContext,
  ): void {
    const {request, endpoints, reservedTokens} = admitted;
    const sink = completion.isStream
      ? this.streamSink(response, request.model, request.requestClass)
      : new completionSinks.BufferedSink(
          response,
          request.model,
          request.promptTokens,
          this.listener(false),
        );
    const generation = this.dependencies.generations.start(
      request,
      endpoints,
      sink,
      completion.isStream,
      trace,
    );
    response.once('close', () =>
      this.limits.release(request.customer, reservedTokens),
    );
    this.attachToResponse(generation, response, completion.isStream);
  }

  private resume(
    lastEventId: string,
    body: Buffer,
    caller: callerAuthenticator.Caller,
    response: http.ServerResponse,
    trace: tracing.TraceContext,
  ): failure.Failure | undefined {
    const position = eventId.parseEventId(lastEventId);
    if (position.isErr()) {
      return position.error;
    }
    const parsed = completionRequest.parseCompletion(body, this.defaults);
    const model = parsed.map(completion => completion.model).unwrapOr('');
    const requestClass = parsed
      .map(completion => completion.requestClass)
      .unwrapOr(generationRequest.RequestClass.Draft);
    const request: generationRequest.GenerationRequest = {
      customer: caller.customer,
      route: '',
      model,
      prompt: '',
      promptTokens: 0,
      maxTokens: 0,
      requestClass,
      fingerprint: '',
      isSuspect: false,
      weight: caller.weight,
    };
    const {target, index} = position.value;
    const sink = this.streamSink(response, model, requestClass);
    const generation = this.dependencies.generations.resume(
      request,
      target,
      index + 1,
      sink,
      trace,
    );
    this.attachToResponse(generation, response, true);
    return undefined;
  }

  /** Ties a generation to its connection. A streaming caller may reconnect for the rest; others have to start over. */
  private attachToResponse(
    generation: generations.Generation,
    response: http.ServerResponse,
    isResumable: boolean,
  ): void {
    response.on('drain', () =>
      this.dependencies.generations.unpause(generation),
    );
    response.once('close', () =>
      this.dependencies.generations.abandon(generation, isResumable),
    );
  }

  private streamSink(
    response: http.ServerResponse,
    model: string,
    requestClass: generationRequest.RequestClass,
  ): completionSinks.StreamSink {
    return new completionSinks.StreamSink(
      response,
      model,
      requestClass,
      this.dependencies.metrics,
      this.listener(true),
    );
  }

  private listener(isResumable: boolean): completionSinks.SinkListener {
    return {
      onDidComplete: target =>
        this.dependencies.generations.release(target, isResumable),
      onDidAnswer: (code, work) =>
        this.dependencies.metrics.answers.inc({code: String(code), work}),
    };
  }
}
