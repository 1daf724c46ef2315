/** Calls served by a side process. */
import * as zod from 'zod';
import * as resultCode from '../../base/common/result_code';
import * as generationRequest from './generation_request';

/** Sends a generation to a side process. */
export const startAttemptSchema = zod.z.object({
  attempt: zod.z.string(),
  /** Incarnation that the attempt is addressed to; any other incarnation refuses it. */
  incarnation: zod.z.string(),
  link: zod.z.string(),
  traceparent: zod.z.string(),
  request: generationRequest.generationRequestSchema,
});
export type StartAttempt = zod.z.infer<typeof startAttemptSchema>;

/** Identifies an attempt of one incarnation. */
export const attemptReferenceSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
});
export type AttemptReference = zod.z.infer<typeof attemptReferenceSchema>;

/** Stops sending the output of an attempt to its link. */
export const detachSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
  /** The caller is still connected but reads slowly: the run continues without a time limit. */
  isPause: zod.z.boolean(),
  /** The complete output was handed to the caller's connection; absent in messages of older builds. */
  isDelivered: zod.z.boolean().optional(),
});
export type Detach = zod.z.infer<typeof detachSchema>;

/** Requests the tokens of an attempt starting at an index. */
export const attachSchema = zod.z.object({
  attempt: zod.z.string(),
  incarnation: zod.z.string(),
  link: zod.z.string(),
  fromIndex: zod.z.number().int().nonnegative(),
  /** Customer of the caller; attempts of other customers are not accessible. */
  customer: zod.z.string(),
});
export type Attach = zod.z.infer<typeof attachSchema>;

/** Keeps a link alive and reports the entry's configuration revision. */
export const renewLinkSchema = zod.z.object({
  link: zod.z.string(),
  entry: zod.z.string(),
  entryAddress: zod.z.string(),
  revision: zod.z.number(),
});
export type RenewLink = zod.z.infer<typeof renewLinkSchema>;

/** Forwards one call to a plain service. */
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

/** A refusal or failure, with whether the work ran. */
export interface CallFailure {
  readonly code: resultCode.ResultCode;
  readonly message: string;
  readonly workState: resultCode.WorkState;
  readonly retryAfterSeconds?: number;
}

/** Reply to a start, an attach or an order. */
export interface CallReply {
  readonly isAccepted: boolean;
  readonly failure?: CallFailure;
}

/** Whether an attempt had started before it was withdrawn. */
export enum TombstoneState {
  /** It did not run and never will. */
  NeverStarted = 'never-started',
  /** It was started before the withdrawal. */
  Started = 'started',
  /** The addressed incarnation no longer exists, so this is unknown. */
  IncarnationGone = 'incarnation-gone',
}

/** Reply to the withdrawal of an attempt. */
export interface TombstoneReply {
  readonly state: TombstoneState;
}

/** HTTP response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** Reply to a service call; one member is set. */
export interface ServiceReply {
  readonly answer?: ServiceResponse;
  readonly failure?: CallFailure;
}

/** Actions that an engine can be ordered to perform. */
export enum OrderAction {
  LoadModel = 'load-model',
  LoadAdapter = 'load-adapter',
  ChangeRole = 'change-role',
}

/** An order to the engine, protected by a fencing number. */
export const engineOrderSchema = zod.z.object({
  incarnation: zod.z.string(),
  fencingNumber: zod.z.number().int(),
  action: zod.z.enum(OrderAction),
  /** What the action applies to; for LoadModel, the model and its version as model@version. */
  subject: zod.z.string(),
});
export type EngineOrder = zod.z.infer<typeof engineOrderSchema>;
