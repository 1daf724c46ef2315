/** Interface to the platform's store of model weights, whose reads are rate-limited. */
import * as neverthrow from 'neverthrow';
import * as objectStore from './object_store';

/** Permission to read the weights of a model once. */
export interface WeightGrant {
  readonly model: string;
  readonly bytes: number;
}

/** Grants permissions to read model weights. */
export abstract class WeightStore {
  /** Errors: NotFound for an unknown model, Unreachable when the rate limit is reached, Unknown. */
  abstract reserve(
    model: string,
  ): Promise<neverthrow.Result<WeightGrant, objectStore.StoreError>>;
}
