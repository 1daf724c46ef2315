/** Serves /v1/completions. */
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as tracing from '../../base/node/tracing';
import * as customerLimits from '../../decision/common/customer_limits';
import * as poisonTable from '../../decision/common/poison_table';
import * as routeSystem from '../../decision/common/route_system';
import * as generationRequest from '../../protocol/common/generation_request';
import * as callerGate from './caller_gate';
import * as completionRequest from './completion_request';
import * as completionSinks from './completion_sinks';
import * as entryMetrics from './entry_metrics';
import * as entrySettings from './entry_settings';
import * as eventId from './event_id';
import * as generations from './generation';
import * as generationService from './generation_service';
import * as poisonService from './poison_service';

/** What the handler is made from. */
export interface CompletionHandlerParts {
  readonly gate: callerGate.CallerGate;
  readonly routes: routeSystem.RouteSystem;
  readonly generations: generationService.GenerationService;
  readonly poison: poisonService.PoisonService;
  readonly metrics: entryMetrics.EntryMetrics;
  readonly tracer: tracing.Tracer;
  readonly settings: entrySettings.CallerSettings;
  readonly entryCount: () => number;
}

interface AdmittedCompletion {
  readonly request: generationRequest.GenerationRequest;
  readonly endpoints: readonly string[];
  readonly countedTokens: number;
}

/** Checks requests, starts or resumes generations and answers callers. */
export class CompletionHandler {
  private readonly limits = new customerLimits.CustomerLimits();

  constructor(private readonly parts: CompletionHandlerParts) {}

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
      this.parts.metrics.answers.inc({
        code: String(cause.code),
        work: cause.workState,
      });
      httpServer.sendFailure(response, cause);
    }
  }

  /** Gives the refusal where there is one. */
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
        `method: ${request.method} is not served here`,
      );
    }
    const caller = this.parts.gate.admit(request);
    if (caller.isErr()) {
      return caller.error;
    }
    const body = await httpServer.readBody(
      request,
      this.parts.settings.max_body_bytes,
    );
    if (body.isErr()) {
      return body.error;
    }
    if (isResume) {
      return this.resume(
        lastEventId,
        body.value,
        caller.value,
        response,
        trace,
      );
    }
    const span = this.parts.tracer.start('entry.admission', trace);
    const parsed = completionRequest.parseCompletion(body.value, this.defaults);
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
    const settings = this.parts.settings;
    return {
      maxTokens: settings.default_max_tokens,
      quickMaxTokens: settings.quick_max_tokens,
    };
  }

  /** The one moment at which dates, limits and suspicions are decided for a request. */
  private admit(
    completion: completionRequest.CompletionRequest,
    caller: callerGate.Caller,
    arrivedAt: number,
  ): neverthrow.Result<AdmittedCompletion, failure.Failure> {
    const route = this.parts.routes.forModel(
      caller.customer,
      completion.model,
      arrivedAt,
    );
    if (route.isErr()) {
      return neverthrow.err(route.error);
    }
    const promptTokens = generationRequest.estimateTokens(completion.prompt);
    const contextTokens = this.parts.routes.contextTokens(completion.model);
    if (promptTokens + completion.maxTokens > contextTokens) {
      const message = `max_tokens: prompt and output exceed the context of ${contextTokens} tokens`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.ContextTooLong, message),
      );
    }
    const fingerprint = completionRequest.fingerprintOf(completion);
    if (
      this.parts.poison.suspicion(fingerprint) ===
      poisonTable.Suspicion.Condemned
    ) {
      const message = 'the request ended the endpoint instances that ran it';
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.PoisonRequest, message),
      );
    }
    const expected = this.parts.generations.predictor
      .distribution(caller.customer, route.value.name)
      .expectedRemaining(0, completion.maxTokens);
    const countedTokens = promptTokens + expected;
    const entries = this.parts.entryCount();
    const refusal = this.limits.admit(
      caller.customer,
      countedTokens,
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
      countedTokens,
    });
  }

  private start(
    completion: completionRequest.CompletionRequest,
    admitted: AdmittedCompletion,
    response: http.ServerResponse,
    trace: tracing.TraceContext,
  ): void {
    const {request, endpoints, countedTokens} = admitted;
    const sink = completion.isStream
      ? this.streamSink(response, request.model, request.requestClass)
      : new completionSinks.WholeSink(
          response,
          request.model,
          request.promptTokens,
          this.owner,
        );
    const generation = this.parts.generations.start(
      request,
      endpoints,
      sink,
      completion.isStream,
      trace,
    );
    response.once('close', () =>
      this.limits.release(request.customer, countedTokens),
    );
    this.follow(generation, response, completion.isStream);
  }

  private resume(
    lastEventId: string,
    body: Buffer,
    caller: callerGate.Caller,
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
    const generation = this.parts.generations.resume(
      request,
      target,
      index + 1,
      sink,
      trace,
    );
    this.follow(generation, response, true);
    return undefined;
  }

  /** A caller of a stream may come back for the rest; one that wanted the whole answer starts anew. */
  private follow(
    generation: generations.Generation,
    response: http.ServerResponse,
    isResumable: boolean,
  ): void {
    response.on('drain', () => this.parts.generations.unpause(generation));
    response.once('close', () =>
      this.parts.generations.abandon(generation, isResumable),
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
      this.parts.metrics,
      this.owner,
    );
  }

  private get owner(): completionSinks.SinkOwner {
    return {
      onDidComplete: target => this.parts.generations.release(target),
      onDidAnswer: (code, work) =>
        this.parts.metrics.answers.inc({code: String(code), work}),
    };
  }
}
