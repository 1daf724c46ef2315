/** Calls that a side process answers. */
import * as zod from 'zod';
import * as resultCode from '../../base/common/result_code';
import * as generationRequest from './generation_request';

/** Hands a generation to a side process. */
export const startAttemptSchema = zod.z.object({
  attempt: zod.z.string(),
  /** Incarnation that the attempt is addressed to; another one refuses it. */
  incarnation: zod.z.string(),
  link: zod.z.string(),
  traceparent: zod.z.string(),
  request: generationRequest.generationRequestSchema,
});
export type StartAttempt = zod.z.infer<typeof startAttemptSchema>;

/** Names an attempt of one incarnation. */
export const attemptReferenceSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
});
export type AttemptReference = zod.z.infer<typeof attemptReferenceSchema>;

/** Stops the output of an attempt towards a link. */
export const detachSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
  /** The caller is still there but reads slowly: the run goes on without a time limit. */
  isPause: zod.z.boolean(),
});
export type Detach = zod.z.infer<typeof detachSchema>;

/** Asks for the tokens of an attempt from an index on. */
export const attachSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
  link: zod.z.string(),
  fromIndex: zod.z.number().int().nonnegative(),
  /** Customer of the caller; another customer's attempt is not given out. */
  customer: zod.z.string(),
});
export type Attach = zod.z.infer<typeof attachSchema>;

/** Keeps a link alive and tells the entry's configuration revision. */
export const renewLinkSchema = zod.z.object({
  link: zod.z.string(),
  entry: zod.z.string(),
  entryAddress: zod.z.string(),
  revision: zod.z.number(),
});
export type RenewLink = zod.z.infer<typeof renewLinkSchema>;

/** Passes one call to a plain service. */
export const serviceCallSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
  traceparent: zod.z.string(),
  method: zod.z.string(),
  path: zod.z.string(),
  contentType: zod.z.string(),
  bodyBase64: zod.z.string(),
  idempotencyKey: zod.z.string(),
  timeoutMilliseconds: zod.z.number(),
});
export type ServiceCall = zod.z.infer<typeof serviceCallSchema>;

/** A refusal or failure with its proof. */
export interface CallFailure {
  readonly code: resultCode.ResultCode;
  readonly message: string;
  readonly workState: resultCode.WorkState;
  readonly retryAfterSeconds?: number;
}

/** Answer to a hand-off, an attach or an order. */
export interface CallReply {
  readonly isAccepted: boolean;
  readonly failure?: CallFailure;
}

/** What a side process knows of an attempt that was withdrawn. */
export enum TombstoneState {
  /** It did not run and never will. */
  NeverStarted = 'never-started',
  /** It was started before the withdrawal. */
  Started = 'started',
  /** The incarnation addressed is gone, and nobody can tell. */
  IncarnationGone = 'incarnation-gone',
}

/** Answer to a withdrawal. */
export interface TombstoneReply {
  readonly state: TombstoneState;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** Answer to a service call. */
export interface ServiceReply {
  readonly answer?: ServiceAnswer;
  readonly failure?: CallFailure;
}

/** Actions that an engine can be ordered to take. */
export enum OrderAction {
  LoadModel = 'load-model',
  LoadAdapter = 'load-adapter',
  ChangeRole = 'change-role',
}

/** An order to the engine, guarded by a fencing number. */
export const engineOrderSchema = zod.z.object({
  incarnation: zod.z.string(),
  fencingNumber: zod.z.number().int(),
  action: zod.z.enum(OrderAction),
  subject: zod.z.string(),
});
export type EngineOrder = zod.z.infer<typeof engineOrderSchema>;
