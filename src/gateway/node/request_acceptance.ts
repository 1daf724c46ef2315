/** Decides whether requests of callers become calls. */
import * as http from 'node:http';
import * as resultCode from '../../base/common/result_code';
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as routeIndex from '../common/route_index';
import * as gatewayServices from './gateway_services';
import * as rejections from './rejections';

const {ResultCode} = resultCode;

/**
 * Maximum age of a configuration by which an unknown route or key is rejected,
 * in milliseconds. Changes arrive by watches and peers within a second; the
 * age of a confirmed configuration rises to 2 s between two answers of a watch.
 */
const REJECTION_MAX_AGE_MILLISECONDS = 1_200;
/** The same for routes and keys that this gateway has seen removed; a watch confirms the configuration at least as often while the store answers. */
const RETIRED_MAX_AGE_MILLISECONDS = 2_500;
/** Retry delay while there is no configuration, in seconds. */
const NOT_READY_RETRY_SECONDS = 0.5;
/** Retry delay while the memory is full, in seconds. */
const FULL_RETRY_SECONDS = 1;
/** Decodes the requests of the platform's callers. */
export abstract class CallerDecoder {
  abstract decode(request: http.IncomingMessage): instanceClient.CallerRequest;
  /** Whether the request has no Host header, or several. */
  abstract hasAmbiguousHost(request: http.IncomingMessage): boolean;
}

/** Route and customer of a request. */
export interface AcceptedRequest {
  readonly index: routeIndex.RouteIndex;
  readonly route: configuration.Route;
  readonly customer: configuration.Customer | undefined;
}

/** Checks headers, and finds routes and customers. */
export class RequestAcceptance {
  constructor(
    private readonly services: gatewayServices.GatewayServices,
    private readonly decoder: CallerDecoder,
  ) {}

  /** Returns why a request is rejected for its headers, or for lack of room; undefined if it is not. */
  checkHeaders(
    request: http.IncomingMessage,
    caller: instanceClient.CallerRequest,
  ): rejections.Rejection | undefined {
    const {follower} = this.services;
    if (this.decoder.hasAmbiguousHost(request)) {
      return rejections.create(
        ResultCode.MalformedRequest,
        'host: expected exactly one',
      );
    }
    const limits = follower.routes?.configuration.limits;
    const headerBytes = request.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      caller.target.length,
    );
    if (this.services.room.isFull) {
      return rejections.create(
        ResultCode.Overloaded,
        'this gateway has too little memory left for another request',
        FULL_RETRY_SECONDS,
      );
    }
    if (limits !== undefined && headerBytes > limits.maxHeaderBytes) {
      return rejections.create(
        ResultCode.HeadersTooLarge,
        `headers: ${headerBytes} bytes, at most ${limits.maxHeaderBytes}`,
      );
    }
    return undefined;
  }

  /** Finds route and customer. Before a rejection, a configuration that was not confirmed recently is read again, with limited frequency and a bounded wait. */
  async accept(
    caller: instanceClient.CallerRequest,
  ): Promise<AcceptedRequest | rejections.Rejection> {
    const first = this.findRouteAndCustomer(caller);
    if (!(first instanceof rejections.Rejection)) {
      return first;
    }
    const {follower} = this.services;
    const isRetired =
      first.failure.code === ResultCode.UnknownRoute
        ? follower.configuration.retired.hasRoute(caller.host, caller.path)
        : follower.configuration.retired.hasKey(caller.key);
    await follower.refreshConfiguration(
      isRetired ? RETIRED_MAX_AGE_MILLISECONDS : REJECTION_MAX_AGE_MILLISECONDS,
    );
    const second = this.findRouteAndCustomer(caller);
    const isRefusal = second instanceof rejections.Rejection;
    return isRefusal && follower.configuration.isOvertaken(performance.now())
      ? rejections.create(
          ResultCode.NotReady,
          'a later configuration is not in force here yet',
          NOT_READY_RETRY_SECONDS,
        )
      : second;
  }

  private findRouteAndCustomer(
    caller: instanceClient.CallerRequest,
  ): AcceptedRequest | rejections.Rejection {
    const index = this.services.follower.routes;
    if (index === undefined) {
      return rejections.create(
        ResultCode.NotReady,
        'no configuration is known yet',
        NOT_READY_RETRY_SECONDS,
      );
    }
    const route = index.findRoute(caller.host, caller.path);
    if (route === undefined) {
      return rejections.create(
        ResultCode.UnknownRoute,
        `no route for host "${caller.host}" and path "${caller.path}"`,
      );
    }
    if (!index.needsKeys || route.isPublic) {
      return {index, route, customer: undefined};
    }
    const customer =
      caller.key === undefined ? undefined : index.findCustomer(caller.key);
    if (customer === undefined) {
      return rejections.create(
        ResultCode.Unauthenticated,
        'authorization: the key is missing or unknown',
      );
    }
    return {index, route, customer};
  }
}
