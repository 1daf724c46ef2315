/** Generation requests as passed between processes. */
import * as zod from 'zod';

/** Classes of work, from the most to the least urgent. */
export enum RequestClass {
  Quick = 'quick',
  Draft = 'draft',
}

/** Schema of a generation request from an entry to a side process. */
export const generationRequestSchema = zod.z.object({
  customer: zod.z.string(),
  route: zod.z.string(),
  model: zod.z.string(),
  prompt: zod.z.string(),
  /** Estimated length of the prompt, in tokens. */
  promptTokens: zod.z.number(),
  /** Largest number of output tokens. */
  maxTokens: zod.z.number(),
  requestClass: zod.z.enum(RequestClass),
  /** Identifies requests with the same content. */
  fingerprint: zod.z.string(),
  /** Whether an endpoint instance crashed during an earlier run with this fingerprint. */
  isSuspect: zod.z.boolean(),
  /** Weight of the customer's share under contention. */
  weight: zod.z.number(),
});

/** A generation request from an entry to a side process. */
export type GenerationRequest = zod.z.infer<typeof generationRequestSchema>;

const CHARACTERS_PER_TOKEN = 4;

/** Estimates the length of a text in tokens. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
