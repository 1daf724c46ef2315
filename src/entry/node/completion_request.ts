/** Parsing and validation of the body of a completions request. */
import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as generationRequest from '../../protocol/common/generation_request';

/** Fields that are used; other fields of the common format are accepted and ignored. */
const completionBodySchema = zod.z.looseObject({
  model: zod.z.string().min(1),
  prompt: zod.z.union(
    [
      zod.z.string(),
      zod.z
        .array(zod.z.string())
        .length(1)
        .transform(texts => texts[0]),
    ],
    {
      error: 'a string, or an array of one string',
    },
  ),
  max_tokens: zod.z.number().int().min(1).max(1_000_000).optional(),
  stream: zod.z.boolean().optional(),
  priority: zod.z.enum(generationRequest.RequestClass).optional(),
  n: zod.z.literal(1).optional(),
});

/** A validated completions request. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
  readonly requestClass: generationRequest.RequestClass;
}

/** Defaults for omitted fields. */
export interface CompletionDefaults {
  readonly maxTokens: number;
  readonly quickMaxTokens: number;
}

/** Errors: MalformedRequest; InvalidField with the field name in the message. */
export function parseCompletion(
  body: Buffer,
  defaults: CompletionDefaults,
): neverthrow.Result<CompletionRequest, failure.Failure> {
  let json: unknown;
  try {
    json = JSON.parse(body.toString('utf8'));
  } catch {
    return neverthrow.err(
      failure.notRun(
        resultCode.ResultCode.MalformedRequest,
        'body: not valid JSON',
      ),
    );
  }
  const checked = completionBodySchema.safeParse(json);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    const message = `${issue.path.join('.') || 'body'}: ${issue.message}`;
    return neverthrow.err(
      failure.notRun(resultCode.ResultCode.InvalidField, message),
    );
  }
  const fields = checked.data;
  const maxTokens = fields.max_tokens ?? defaults.maxTokens;
  const isShort = maxTokens <= defaults.quickMaxTokens;
  const defaultClass = isShort
    ? generationRequest.RequestClass.Quick
    : generationRequest.RequestClass.Draft;
  return neverthrow.ok({
    model: fields.model,
    prompt: fields.prompt,
    maxTokens,
    isStream: fields.stream ?? false,
    requestClass: fields.priority ?? defaultClass,
  });
}

/** Returns the same value for requests with the same model, prompt and maxTokens. */
export function fingerprintOf(request: CompletionRequest): string {
  const content = JSON.stringify([
    request.model,
    request.prompt,
    request.maxTokens,
  ]);
  return crypto.createHash('sha256').update(content).digest('hex').slice(0, 24);
}
