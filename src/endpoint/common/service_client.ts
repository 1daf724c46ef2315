/** A plain service as a side process uses it. */
import * as neverthrow from 'neverthrow';
import * as sideCalls from '../../protocol/common/side_calls';

/** Why a service gave no answer. */
export enum ServiceError {
  /** The service surely did not get the call. */
  NotSent = 'not-sent',
  /** The service may have run the call. */
  Unknown = 'unknown',
}

/** Passes calls to one plain service. */
export abstract class ServiceClient {
  abstract call(
    call: sideCalls.ServiceCall,
  ): Promise<neverthrow.Result<sideCalls.ServiceAnswer, ServiceError>>;
  /** Whether the service answers; rejects or gives false when not. */
  abstract isAlive(): Promise<boolean>;
}
