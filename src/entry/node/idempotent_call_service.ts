/** Runs a service call at most once per idempotency key. */
import * as deadline from '../../base/common/deadline';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as claimPage from '../../protocol/common/claim_page';
import * as sideCalls from '../../protocol/common/side_calls';
import * as claimService from './claim_service';
import * as serviceDispatcher from './service_dispatcher';

/** Time that a concurrent duplicate waits for the answer of the first call, in milliseconds. */
const DUPLICATE_WAIT_MILLISECONDS = 5_000;
const DUPLICATE_POLL_MILLISECONDS = 250;
/** Longest body that is stored in a claim, in base64 characters. */
const MAX_STORED_BODY_CHARACTERS = 64 * 1024;

/** Identifies an action. */
export interface ActionKey {
  readonly customerKey: string;
  /** Timestamp in the idempotency key, in Unix milliseconds. */
  readonly keyMilliseconds: number;
  readonly bodySha256: string;
}

/** Claims each action before it is dispatched, and records its outcome. */
export class IdempotentCallService {
  constructor(
    private readonly claims: claimService.ClaimService,
    private readonly dispatcher: serviceDispatcher.ServiceDispatcher,
  ) {}

  async run(
    call: serviceDispatcher.ServiceRequest,
    key: ActionKey,
  ): Promise<sideCalls.ServiceReply> {
    const attempt = serviceDispatcher.newAttemptId();
    const until = performance.now() + DUPLICATE_WAIT_MILLISECONDS;
    let isFresh = false;
    for (;;) {
      const result = await this.claims.claim(
        key.keyMilliseconds,
        key.customerKey,
        attempt,
        key.bodySha256,
        isFresh,
      );
      if (result.isErr()) {
        return this.claimFailed(key, attempt, result.error);
      }
      if (result.value.outcome === claimPage.ClaimOutcome.Granted) {
        return this.dispatchGranted(call, key, attempt);
      }
      if (result.value.outcome !== claimPage.ClaimOutcome.HeldElsewhere) {
        return replyFromClaim(result.value);
      }
      if (performance.now() > until) {
        return {failure: duplicateInProgress()};
      }
      isFresh = true;
      await deadline.delay(DUPLICATE_POLL_MILLISECONDS);
    }
  }

  /**
   * A claim is exclusive only if its page cannot have been swept before it was
   * granted, so the key's age is checked again after the grant.
   */
  private async dispatchGranted(
    call: serviceDispatcher.ServiceRequest,
    key: ActionKey,
    attempt: string,
  ): Promise<sideCalls.ServiceReply> {
    const age = claimPage.keyAge(key.keyMilliseconds, Date.now());
    if (age === claimPage.KeyAge.TooOld) {
      void this.claims.release(key.keyMilliseconds, key.customerKey, attempt);
      const message = 'idempotency-key: became too old before the call';
      const code = resultCode.ResultCode.IdempotencyKeyTooOld;
      return {failure: failure.notRun(code, message)};
    }
    return this.dispatch(call, key, attempt);
  }

  private async dispatch(
    call: serviceDispatcher.ServiceRequest,
    key: ActionKey,
    attempt: string,
  ): Promise<sideCalls.ServiceReply> {
    const reply = await this.dispatcher.dispatch(
      {...call, isRepeatable: false},
      attempt,
    );
    if (reply.answer !== undefined) {
      const answer = toStorableAnswer(reply.answer);
      // Wait until the answer is recorded, so that a repeated call finds it.
      await deadline
        .withDeadline(
          this.claims.complete(
            key.keyMilliseconds,
            key.customerKey,
            attempt,
            answer,
          ),
          2_000,
        )
        .catch(() => undefined);
      return reply;
    }
    if (reply.failure?.workState === resultCode.WorkState.NotRun) {
      await deadline
        .withDeadline(
          this.claims.release(key.keyMilliseconds, key.customerKey, attempt),
          2_000,
        )
        .catch(() => undefined);
    }
    return reply;
  }

  /** Nothing was dispatched, so the action did not run, whether or not the claim was stored. */
  private claimFailed(
    key: ActionKey,
    attempt: string,
    error: claimPage.ClaimError,
  ): sideCalls.ServiceReply {
    if (error === claimPage.ClaimError.Uncertain) {
      void this.claims.release(key.keyMilliseconds, key.customerKey, attempt);
    }
    const message = 'the object API did not confirm the claim';
    return {
      failure: failure.notRun(
        resultCode.ResultCode.StoreUnavailable,
        message,
        2,
      ),
    };
  }
}

function replyFromClaim(result: claimPage.ClaimResult): sideCalls.ServiceReply {
  if (result.outcome === claimPage.ClaimOutcome.Completed) {
    const {status, contentType, bodyBase64} = result.claim!;
    return {answer: {status, contentType, bodyBase64}};
  }
  if (result.outcome === claimPage.ClaimOutcome.BodyMismatch) {
    const message = 'idempotency-key: belongs to an action with another body';
    return {
      failure: failure.notRun(
        resultCode.ResultCode.IdempotencyKeyReused,
        message,
      ),
    };
  }
  const message =
    'idempotency-key: too many actions were claimed for the minute of its timestamp';
  return {
    failure: failure.notRun(resultCode.ResultCode.Overloaded, message, 60),
  };
}

function duplicateInProgress(): failure.Failure {
  const message =
    'the action was claimed by another call that has no answer yet; it will not run again';
  return failure.unknownOutcome(
    resultCode.ResultCode.OutcomeUnknown,
    message,
    5,
  );
}

function toStorableAnswer(
  answer: sideCalls.ServiceResponse,
): sideCalls.ServiceResponse {
  if (answer.bodyBase64.length <= MAX_STORED_BODY_CHARACTERS) {
    return answer;
  }
  const note = JSON.stringify({
    message: 'the action ran; its answer was too long to keep',
  });
  return {
    status: answer.status,
    contentType: 'application/json',
    bodyBase64: Buffer.from(note).toString('base64'),
  };
}
