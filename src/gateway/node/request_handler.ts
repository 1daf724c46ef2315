/** Accepts or rejects the requests of callers, and starts their calls. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as bodyStore from '../../base/node/body_store';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as shutdownPolicy from '../common/shutdown_policy';
import * as routeIndex from '../common/route_index';
import * as callContext from './call_context';
import * as callFault from './call_fault';
import * as callerAnswer from './caller_answer';
import * as gatewayServices from './gateway_services';
import * as generationScheduler from './generation_scheduler';
import * as plainCall from './plain_call';
import * as rejections from './rejections';
import * as requestAcceptance from './request_acceptance';
import * as streamCall from './stream_call';
import * as streamSegment from './stream_segment';

const {ResultCode} = resultCode;

/** Time reserved before the process ends for writing the last answers, in milliseconds. */
const ANSWER_MARGIN_MILLISECONDS = 100;

/** A request that is not a call yet. */
interface Arrival {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly caller: instanceClient.CallerRequest;
  /** Whether it was answered because the process ends. */
  isRejected: boolean;
}

/** Handles every request of callers. */
export class RequestHandler {
  private stopSignalAt = 0;
  /** Monotonic time at which the process ends, in milliseconds; undefined unless it is shutting down. */
  private endsAt: number | undefined;
  private hasEnded = false;
  private readonly openCalls = new Set<callContext.CallContext>();
  /** Requests that are not accepted yet, or whose bodies have not arrived whole. */
  private readonly arrivals = new Set<Arrival>();

  private readonly acceptance: requestAcceptance.RequestAcceptance;

  constructor(
    private readonly services: gatewayServices.GatewayServices,
    private readonly decoder: requestAcceptance.CallerDecoder,
  ) {
    this.acceptance = new requestAcceptance.RequestAcceptance(
      services,
      decoder,
    );
  }

  /** Makes the handler refuse requests that are not likely to be answered before the process ends. */
  prepareShutdown(endsAt: number): void {
    this.stopSignalAt = performance.now();
    this.endsAt = endsAt;
  }

  /** Answers the requests of which nothing was answered, since the process ends now; sends no further ones to instances. */
  endOpenCalls(): void {
    this.hasEnded = true;
    [...this.arrivals]
      .filter(({response}) => !response.headersSent)
      .forEach(each => this.rejectBeforeShutdown(each));
    for (const context of this.openCalls) {
      if (context.response.headersSent) {
        continue;
      }
      if (context.sendsThatMayHaveRun === 0) {
        this.refuseBeforeShutdown(context);
        continue;
      }
      const message = 'no answer before this gateway ended';
      const {OutcomeUnknown} = resultCode.ResultCode;
      context.fail(failure.unknownOutcome(OutcomeUnknown, message), 504);
    }
  }

  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedAt = performance.now();
    if (this.endsAt !== undefined) {
      response.setHeader('Connection', 'close');
    }
    const caller = this.decoder.decode(request);
    const arrival = {request, response, caller, isRejected: false};
    if (this.hasEnded) {
      return this.rejectBeforeShutdown(arrival);
    }
    this.arrivals.add(arrival);
    response.once('close', () => this.arrivals.delete(arrival));
    const rejected = this.acceptance.checkHeaders(request, caller);
    if (rejected !== undefined) {
      return this.reject(request, response, caller, rejected);
    }
    const accepted = await this.acceptance.accept(caller);
    if (arrival.isRejected) {
      return;
    }
    if (accepted instanceof rejections.Rejection) {
      return this.reject(request, response, caller, accepted);
    }
    const {limits} = accepted.index.configuration;
    const body = await this.services.bodies.read(
      request,
      limits.maxBodyBytes,
      accepted.customer?.name ?? request.socket.remoteAddress ?? '',
    );
    this.arrivals.delete(arrival);
    if (arrival.isRejected) {
      return body.map(each => each.release()).unwrapOr(undefined);
    }
    if (body.isErr()) {
      return this.reject(
        request,
        response,
        caller,
        new rejections.Rejection(body.error),
      );
    }
    if (response.destroyed) {
      return body.value.release();
    }
    await this.start(caller, body.value, accepted, arrivedAt, response);
  }

  private async start(
    caller: instanceClient.CallerRequest,
    body: bodyStore.HeldBody,
    accepted: requestAcceptance.AcceptedRequest,
    arrivedAt: number,
    response: http.ServerResponse,
  ): Promise<void> {
    const {index, route, customer} = accepted;
    const endpointName = routeIndex.drawEndpoint(route, Math.random());
    const wait = Math.min(
      caller.waitMilliseconds ?? Infinity,
      route.timeoutMilliseconds,
    );
    const context = new callContext.CallContext(
      this.services,
      {
        caller,
        body,
        route,
        endpoint: index.findEndpoint(endpointName ?? ''),
        endpointName: endpointName ?? '',
        customer,
        scope: scopeOf(route, customer),
        arrivedAt,
        deadlineAt: arrivedAt + wait,
        fingerprint: fingerprintOf(caller, body, route, customer),
        configurationVersion: index.configuration.version,
      },
      response,
    );
    this.openCalls.add(context);
    response.once('close', () => this.openCalls.delete(context));
    await callFault.guard(context, () => this.run(context));
  }

  private async run(context: callContext.CallContext): Promise<void> {
    const {endpointName, arrivedAt, route} = context.call;
    this.services.retries.recordRequest(endpointName, arrivedAt);
    const isStreaming = route.kind === configuration.RequestKind.Streaming;
    if (context.endIfPoisoned()) {
      return;
    }
    context.setShutdownCheck(() => this.endBeforeShutdown(context));
    if (context.endIfTooLate()) {
      return;
    }
    if (this.endsAt !== undefined) {
      context.setAnswerDeadline(this.endsAt - ANSWER_MARGIN_MILLISECONDS);
    }
    await (isStreaming
      ? new streamCall.StreamCall(context).start()
      : new plainCall.PlainCall(context).run());
  }

  /** Refuses a call that has not been sent if it may not end before this process does; returns whether it was refused. */
  private endBeforeShutdown(context: callContext.CallContext): boolean {
    if (this.endsAt === undefined) {
      return false;
    }
    const now = performance.now();
    const grace = {
      sinceSignalMilliseconds: now - this.stopSignalAt,
      leftMilliseconds: this.endsAt - ANSWER_MARGIN_MILLISECONDS - now,
    };
    const request = {
      waitMilliseconds: context.call.deadlineAt - now,
      isRetryable: context.isRetryable,
      isLikelyInTime: this.isLikelyInTime(context, grace),
    };
    const peers = this.services.members.availability(now);
    if (!this.hasEnded && shutdownPolicy.mayBeSent(request, grace, peers)) {
      return false;
    }
    this.refuseBeforeShutdown(context);
    return true;
  }

  private isLikelyInTime(
    context: callContext.CallContext,
    grace: shutdownPolicy.GracePeriod,
  ): boolean {
    const {route, endpoint, endpointName, caller} = context.call;
    if (route.kind !== configuration.RequestKind.Streaming) {
      const {objectiveMilliseconds: objective} = route;
      return shutdownPolicy.callEndsInTime(objective, grace.leftMilliseconds);
    }
    const {predictor, pace} = this.services;
    const {tokensPerEvent} = endpoint?.engine ?? streamSegment.DEFAULT_ENGINE;
    const maxEvents = Math.ceil(caller.maxTokens / tokensPerEvent);
    return shutdownPolicy.generationEndsInTime(
      {
        expectedTokens: generationScheduler.expectedTokens(context, predictor),
        maxTokens: caller.maxTokens,
        millisecondsPerToken: pace.get(endpointName),
        slowestMilliseconds:
          route.objectiveMilliseconds + maxEvents * route.maxPauseMilliseconds,
      },
      grace,
    );
  }

  /** Refuses a call that would not finish before this process ends. */
  private refuseBeforeShutdown(context: callContext.CallContext): void {
    const now = performance.now();
    const left = this.endsAt! - now;
    const availability = this.services.members.availability(now);
    context.log('refused-before-end', {
      ends_in_ms: Math.round(left),
      staying_peers: availability.stayingCount,
      first_peer_ends_in_ms: Number.isFinite(availability.firstEndMilliseconds)
        ? Math.round(availability.firstEndMilliseconds)
        : undefined,
    });
    context.refuse(
      ResultCode.NotReady,
      'this gateway shuts down before the request would complete',
      shutdownPolicy.retryAfterMilliseconds(left, availability) / 1000,
    );
  }

  /** Rejects a request that has not become a call, since the process ends now. */
  private rejectBeforeShutdown(arrival: Arrival): void {
    arrival.isRejected = true;
    const {request, response, caller} = arrival;
    const now = performance.now();
    const availability = this.services.members.availability(now);
    const left = Math.max(0, (this.endsAt ?? now) - now);
    const seconds =
      shutdownPolicy.retryAfterMilliseconds(left, availability) / 1000;
    const message = 'this gateway ends before the request has arrived whole';
    this.reject(
      request,
      response,
      caller,
      rejections.create(ResultCode.NotReady, message, seconds),
    );
  }

  private reject(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    caller: instanceClient.CallerRequest,
    cause: rejections.Rejection,
  ): void {
    const {follower, log} = this.services;
    log.writeForClient('request-rejected', {
      request: caller.attemptId,
      result: ResultCode[cause.failure.code],
      reason: cause.failure.message,
      configuration: follower.configurationVersion,
      configuration_age_ms: Math.round(follower.configurationAge()),
    });
    callerAnswer.refuse(
      request,
      response,
      rejections.withinDeadline(cause.failure, caller.waitMilliseconds),
    );
  }
}

/** Where a request of the route and customer may go. */
function scopeOf(
  route: configuration.Route,
  customer: configuration.Customer | undefined,
): instanceAvailability.AvailabilityRequest {
  const lists = [route.allowedRegions, customer?.allowedRegions].filter(
    list => list !== undefined,
  );
  return lists.length === 0
    ? instanceAvailability.ANY_REGION
    : {allowedRegions: lists};
}

/** Hash that is equal for requests with the same route, customer, path and body. */
function fingerprintOf(
  caller: instanceClient.CallerRequest,
  body: bodyStore.HeldBody,
  route: configuration.Route,
  customer: configuration.Customer | undefined,
): string {
  const hash = crypto.createHash('sha1');
  hash.update(`${route.name}\n${customer?.name ?? ''}\n${caller.target}\n`);
  body.chunks.forEach(chunk => hash.update(chunk));
  return hash.digest('base64url');
}
