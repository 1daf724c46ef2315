/**
 * Claims on actions that may run at most once. Claims whose keys fall into
 * the same minute and bucket share one object, a page, so that many claims
 * cost one write.
 */
import * as zod from 'zod';

/** Where a claimed action stands. */
export enum ClaimState {
  /** One attempt has the sole right to run the action, for ever. */
  Claimed = 'claimed',
  /** The holder proved that the action did not run, so it may be claimed again. */
  Released = 'released',
  /** The action ran and its answer is known. */
  Completed = 'completed',
}

const claimSchema = zod.z.object({
  attempt: zod.z.string(),
  bodySha256: zod.z.string(),
  state: zod.z.enum(ClaimState),
  status: zod.z.number(),
  contentType: zod.z.string(),
  bodyBase64: zod.z.string(),
});

/** The record of one action. */
export type Claim = zod.z.infer<typeof claimSchema>;

/** Schema of a page: claims by customer and key. */
export const claimPageSchema = zod.z.record(zod.z.string(), claimSchema);

/** Claims by customer and key. */
export type ClaimPage = zod.z.infer<typeof claimPageSchema>;

/** Number of pages for each minute. */
const PAGES_PER_MINUTE = 16;
const MILLISECONDS_PER_MINUTE = 60_000;
const MINUTES_PER_HOUR = 60;

/** Age beyond which a key is refused, in milliseconds. */
export const KEY_LIFETIME_MILLISECONDS = 24 * 3_600_000;
/** Largest difference between clocks that is allowed for, in milliseconds. */
export const MAX_CLOCK_SKEW_MILLISECONDS = 300_000;
/** Age beyond which pages are swept. It exceeds the lifetime by far more than clocks differ. */
export const PAGE_LIFETIME_MILLISECONDS =
  KEY_LIFETIME_MILLISECONDS + 2 * 3_600_000;

/** Whether a key may still be used. */
export enum KeyAge {
  Valid = 'valid',
  TooOld = 'too-old',
  NotYet = 'not-yet',
}

/** Unix milliseconds inside a UUID of version 7, or undefined for any other text. */
export function keyTime(key: string): number | undefined {
  const match =
    /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i.exec(
      key,
    );
  return match === null ? undefined : parseInt(match[1] + match[2], 16);
}

/** Decides by the key's own time whether it may be used now. */
export function keyAge(
  keyMilliseconds: number,
  unixMilliseconds: number,
): KeyAge {
  if (unixMilliseconds - keyMilliseconds > KEY_LIFETIME_MILLISECONDS) {
    return KeyAge.TooOld;
  }
  return keyMilliseconds - unixMilliseconds > MAX_CLOCK_SKEW_MILLISECONDS
    ? KeyAge.NotYet
    : KeyAge.Valid;
}

/** Prefix of all pages. */
export const PAGE_PREFIX = 'claims/';

/** Name of the page that holds a key. */
export function pageKey(keyMilliseconds: number, customerKey: string): string {
  const minute = Math.floor(keyMilliseconds / MILLISECONDS_PER_MINUTE);
  const hour = Math.floor(minute / MINUTES_PER_HOUR);
  return `${PAGE_PREFIX}${hour}/${minute}-${bucketOf(customerKey)}`;
}

function bucketOf(text: string): number {
  let hash = 0;
  for (let index = 0; index < text.length; index++) {
    hash = (Math.imul(hash, 31) + text.charCodeAt(index)) | 0;
  }
  return (hash >>> 0) % PAGES_PER_MINUTE;
}

/** Whether every key that a page can hold is past its use. */
export function isPageExpired(page: string, unixMilliseconds: number): boolean {
  const match = /^claims\/\d+\/(\d+)-\d+$/.exec(page);
  if (match === null) {
    return false;
  }
  const end = (Number(match[1]) + 1) * MILLISECONDS_PER_MINUTE;
  return unixMilliseconds - end > PAGE_LIFETIME_MILLISECONDS;
}

/** What can be done to a claim. */
export enum ClaimOperationKind {
  Claim = 'claim',
  Release = 'release',
  Complete = 'complete',
}

/** Schema of one change of a page. */
export const claimOperationSchema = zod.z.object({
  kind: zod.z.enum(ClaimOperationKind),
  customerKey: zod.z.string(),
  attempt: zod.z.string(),
  bodySha256: zod.z.string(),
  status: zod.z.number(),
  contentType: zod.z.string(),
  bodyBase64: zod.z.string(),
});

/** One change of a page. */
export type ClaimOperation = zod.z.infer<typeof claimOperationSchema>;

/** What became of an operation. */
export enum ClaimOutcome {
  /** The attempt holds the claim. */
  Granted = 'granted',
  /** Another attempt holds the claim and has no answer yet. */
  HeldElsewhere = 'held-elsewhere',
  /** The action ran; the claim has its answer. */
  Completed = 'completed',
  /** The key belongs to an action with another body. */
  BodyMismatch = 'body-mismatch',
  /** The operation is noted. */
  Noted = 'noted',
  /** The page is full. */
  PageFull = 'page-full',
}

/** Why an operation was not confirmed. */
export enum ClaimError {
  /** The page was surely not changed by this operation. */
  NotMade = 'not-made',
  /** The page may have been changed by this operation. */
  Uncertain = 'uncertain',
}

/** Result of an operation. */
export interface ClaimResult {
  readonly outcome: ClaimOutcome;
  readonly claim?: Claim;
}

/** Applies an operation to the page. Applying it twice gives the same result. */
export function applyOperation(
  page: ClaimPage,
  operation: ClaimOperation,
): ClaimResult {
  switch (operation.kind) {
    case ClaimOperationKind.Claim:
      return applyClaim(page, operation);
    case ClaimOperationKind.Release:
      return applyEnd(page, operation, ClaimState.Released);
    case ClaimOperationKind.Complete:
      return applyEnd(page, operation, ClaimState.Completed);
  }
}

function applyClaim(page: ClaimPage, operation: ClaimOperation): ClaimResult {
  const existing = page[operation.customerKey];
  if (existing !== undefined && existing.bodySha256 !== operation.bodySha256) {
    return {outcome: ClaimOutcome.BodyMismatch, claim: existing};
  }
  if (existing?.state === ClaimState.Completed) {
    return {outcome: ClaimOutcome.Completed, claim: existing};
  }
  const isHeldElsewhere =
    existing?.state === ClaimState.Claimed &&
    existing.attempt !== operation.attempt;
  if (isHeldElsewhere) {
    return {outcome: ClaimOutcome.HeldElsewhere, claim: existing};
  }
  const claim: Claim = {
    attempt: operation.attempt,
    bodySha256: operation.bodySha256,
    state: ClaimState.Claimed,
    status: 0,
    contentType: '',
    bodyBase64: '',
  };
  page[operation.customerKey] = claim;
  return {outcome: ClaimOutcome.Granted, claim};
}

function applyEnd(
  page: ClaimPage,
  operation: ClaimOperation,
  state: ClaimState.Released | ClaimState.Completed,
): ClaimResult {
  const existing = page[operation.customerKey];
  if (
    existing?.attempt === operation.attempt &&
    existing.state === ClaimState.Claimed
  ) {
    page[operation.customerKey] = {
      ...existing,
      state,
      status: operation.status,
      contentType: operation.contentType,
      bodyBase64: operation.bodyBase64,
    };
  }
  return {outcome: ClaimOutcome.Noted, claim: existing};
}
