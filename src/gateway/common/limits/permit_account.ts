/** What one gateway knows of its permits for one instance, and of the coordinator that issues them. */
import * as rateBucket from '../rate_bucket';

/** Time after which a request for permits counts as unanswered, in milliseconds; longer than a round trip between regions. */
const ANSWER_TIMEOUT_MILLISECONDS = 250;
/** Time between requests to a coordinator that does not answer, in milliseconds; doubled with each further request. */
export const MIN_SILENT_RETRY_MILLISECONDS = 1_000;
const MAX_SILENT_RETRY_MILLISECONDS = 8_000;
/** Window over which the use of permits is measured, in milliseconds. */
const USE_WINDOW_MILLISECONDS = 1_000;

/** A request to the coordinator without an answer. */
export interface PendingRequest {
  readonly sequence: number;
  readonly sentAt: number;
  /** Whether the request told of a ramp. */
  readonly hasRamp: boolean;
}

/** What one gateway knows of its permits for one incarnation. */
export interface Account {
  permits: number;
  /** Monotonic milliseconds until which the permits are valid. */
  validUntil: number;
  /** IP of the coordinator as of the last request; undefined if there was none. */
  coordinator: string | undefined;
  /** Requests in a row that it did not answer. */
  unanswered: number;
  pending: PendingRequest | undefined;
  /** Monotonic milliseconds from which the coordinator may be sent a request. */
  requestAt: number;
  /** Accrues the own share; undefined while the coordinator answers. */
  share: rateBucket.RateBucket | undefined;
  /** Permits used since the window began, and in the window before. */
  used: number;
  usedBefore: number;
  windowStart: number;
}

/** Lets the own share count if the coordinator did not answer in time. */
export function giveUpUnanswered(account: Account, now: number): void {
  const {pending} = account;
  if (
    pending === undefined ||
    now - pending.sentAt <= ANSWER_TIMEOUT_MILLISECONDS
  ) {
    return;
  }
  account.pending = undefined;
  account.share ??= new rateBucket.RateBucket(now);
  const retry = MIN_SILENT_RETRY_MILLISECONDS * 2 ** account.unanswered++;
  account.requestAt =
    pending.sentAt + Math.min(MAX_SILENT_RETRY_MILLISECONDS, retry);
}

/** Forgets what another coordinator said. */
export function changeCoordinator(
  account: Account,
  ip: string | undefined,
  now: number,
): void {
  if (account.coordinator === ip) {
    return;
  }
  account.coordinator = ip;
  account.pending = undefined;
  account.unanswered = 0;
  account.requestAt = now;
}

/** Takes a permit of the coordinator that is still valid. */
export function takeValid(account: Account, now: number): boolean {
  if (account.permits <= 0 || now > account.validUntil) {
    return false;
  }
  account.permits--;
  account.used++;
  return true;
}

/** An account without permits. */
export function createAccount(now: number): Account {
  return {
    permits: 0,
    validUntil: -Infinity,
    pending: undefined,
    coordinator: undefined,
    unanswered: 0,
    requestAt: -Infinity,
    share: undefined,
    used: 0,
    usedBefore: 0,
    windowStart: now,
  };
}

/** Counts the use of permits in the window that contains the time. */
export function advanceWindow(account: Account, now: number): void {
  const age = now - account.windowStart;
  if (age < USE_WINDOW_MILLISECONDS) {
    return;
  }
  account.usedBefore = age < 2 * USE_WINDOW_MILLISECONDS ? account.used : 0;
  account.used = 0;
  account.windowStart = now;
}
