/** Interface to a plain service. */
import * as neverthrow from 'neverthrow';
import * as sideCalls from '../../protocol/common/side_calls';

/** Why a call to a service has no response. */
export enum ServiceError {
  /** The call was definitely not sent to the service. */
  NotSent = 'not-sent',
  /** The service may have executed the call. */
  Unknown = 'unknown',
}

/** Sends calls to one plain service. */
export abstract class ServiceClient {
  abstract call(
    call: sideCalls.ServiceCall,
  ): Promise<neverthrow.Result<sideCalls.ServiceResponse, ServiceError>>;
  /** Resolves to true when the service is healthy; otherwise resolves to false or rejects. */
  abstract isAlive(): Promise<boolean>;
}
