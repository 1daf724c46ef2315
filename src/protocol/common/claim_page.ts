/**
 * Claims on actions that may run at most once. Claims whose keys fall into
 * the same minute and hash bucket share one stored object, a page, so that
 * one write can cover many claims.
 */
import * as zod from 'zod';

/** State of a claimed action. */
export enum ClaimState {
  /** One attempt has the exclusive right to run the action, without expiry. */
  Claimed = 'claimed',
  /** The holder proved that the action did not run, so it may be claimed again. */
  Released = 'released',
  /** The action ran and its response is recorded. */
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

/** Stored record of one action. */
export type Claim = zod.z.infer<typeof claimSchema>;

/** Schema of a page: claims by customer and key. */
export const claimPageSchema = zod.z.record(zod.z.string(), claimSchema);

/** Claims by customer and key. */
export type ClaimPage = zod.z.infer<typeof claimPageSchema>;

/** Number of pages for each minute. */
const PAGES_PER_MINUTE = 16;
const MILLISECONDS_PER_MINUTE = 60_000;
const MINUTES_PER_HOUR = 60;

/** Age above which a key is rejected, in milliseconds. */
export const KEY_LIFETIME_MILLISECONDS = 24 * 3_600_000;
/** Largest clock difference that is tolerated, in milliseconds. */
export const MAX_CLOCK_SKEW_MILLISECONDS = 300_000;
/** Age above which pages are deleted, in milliseconds. It exceeds the key lifetime by far more than clocks differ. */
export const PAGE_LIFETIME_MILLISECONDS =
  KEY_LIFETIME_MILLISECONDS + 2 * 3_600_000;

/** Whether the time in a key is within the accepted window. */
export enum KeyAge {
  Valid = 'valid',
  TooOld = 'too-old',
  NotYet = 'not-yet',
}

/** Returns the Unix time in milliseconds of a version 7 UUID, or undefined for any other text. */
export function keyTime(key: string): number | undefined {
  const match =
    /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i.exec(
      key,
    );
  return match === null ? undefined : parseInt(match[1] + match[2], 16);
}

/** Compares the time in a key with the current time. */
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

/** Key prefix of all pages. */
export const PAGE_PREFIX = 'claims/';

/** Returns the object key of the page that holds an idempotency key. */
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

/** Whether every key that the page can hold has expired. */
export function isPageExpired(page: string, unixMilliseconds: number): boolean {
  const match = /^claims\/\d+\/(\d+)-\d+$/.exec(page);
  if (match === null) {
    return false;
  }
  const end = (Number(match[1]) + 1) * MILLISECONDS_PER_MINUTE;
  return unixMilliseconds - end > PAGE_LIFETIME_MILLISECONDS;
}

/** Operations on a claim. */
export enum ClaimOperationKind {
  Claim = 'claim',
  Release = 'release',
  Complete = 'complete',
}

/** Schema of one operation on a page. */
export const claimOperationSchema = zod.z.object({
  kind: zod.z.enum(ClaimOperationKind),
  customerKey: zod.z.string(),
  attempt: zod.z.string(),
  bodySha256: zod.z.string(),
  status: zod.z.number(),
  contentType: zod.z.string(),
  bodyBase64: zod.z.string(),
});

/** One operation on a page. */
export type ClaimOperation = zod.z.infer<typeof claimOperationSchema>;

/** Outcome of an operation. */
export enum ClaimOutcome {
  /** The attempt holds the claim. */
  Granted = 'granted',
  /** Another attempt holds the claim and has no response yet. */
  HeldElsewhere = 'held-elsewhere',
  /** The action ran; the claim contains its response. */
  Completed = 'completed',
  /** The key belongs to an action with another body. */
  BodyMismatch = 'body-mismatch',
  /** Reply to a release or completion, which changes the claim only while its attempt holds it. */
  Noted = 'noted',
  /** The page is full. */
  PageFull = 'page-full',
}

/** Why an operation was not confirmed. */
export enum ClaimError {
  /** The operation definitely did not change the page. */
  NotMade = 'not-made',
  /** The operation may have changed the page. */
  Uncertain = 'uncertain',
}

/** Result of an operation. */
export interface ClaimResult {
  readonly outcome: ClaimOutcome;
  readonly claim?: Claim;
}

/** Applies an operation to the page. Idempotent. */
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
