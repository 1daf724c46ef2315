/**
 * Short datagrams from one gateway to one other, about one instance or a few
 * streams. They are sent only to gateways whose digests carry a message version
 * that includes them; `fleet_message` has the messages to many.
 */
import * as zod from 'zod';
import * as instancePermits from '../limits/instance_permits';
import * as streamVersions from '../versions/stream_versions';
import * as versionDirectory from '../versions/version_directory';

/** Largest message, in bytes. */
const MAX_BYTES = 2_500;
/** Longest identifier of an instance's incarnation, in characters. */
const MAX_LIFE_LENGTH = 256;
/** First bytes of every message, which distinguish it from a `FleetMessage`. */
const PREFIX = '{"direct":';

/** Content of a message; exactly one part is set. */
export interface DirectMessage extends versionDirectory.DirectoryMessage {
  readonly permitRequest?: instancePermits.PermitRequest;
  readonly permitGrant?: instancePermits.PermitGrant;
}

const count = zod.z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const life = zod.z.string().min(1).max(MAX_LIFE_LENGTH);
const attemptId = zod.z.string().min(1).max(streamVersions.MAX_ID_LENGTH);
const softwareVersion = zod.z.string().max(streamVersions.MAX_ID_LENGTH);
const rate = zod.z.number().min(0).refine(Number.isFinite);
/** Time since something, in milliseconds. */
const age = zod.z.number().min(0).refine(Number.isFinite);

/** See `LimitUpdate`. */
const limitUpdateSchema = zod.z.tuple([rate.nullable(), age]);
/** A limit with the incarnation of its instance. */
export const relayedLimitSchema = zod.z.tuple([life, rate.nullable(), age]);

const flag = zod.z.union([zod.z.literal(0), zod.z.literal(1)]);
/** See `WarmUpUpdate`. */
const warmUpUpdate = [age, age, count, flag] as const;
/** A warm-up with the incarnation of its instance. */
export const relayedWarmUpSchema = zod.z.tuple([life, ...warmUpUpdate]);

const messageSchema = zod.z.object({
  direct: zod.z.object({
    permitRequest: zod.z
      .object({
        sequence: count,
        life,
        wanted: count.max(instancePermits.MAX_WANTED),
        limit: limitUpdateSchema,
        ramp: zod.z.tuple([rate, ...warmUpUpdate]).optional(),
      })
      .optional(),
    begunStreams: zod.z
      .array(zod.z.tuple([attemptId, softwareVersion]))
      .max(versionDirectory.MAX_STREAMS_PER_MESSAGE)
      .optional(),
    versionQuery: zod.z.object({sequence: count, attemptId}).optional(),
    versionAnswer: zod.z
      .object({
        sequence: count,
        softwareVersion: softwareVersion.nullable(),
      })
      .optional(),
    permitGrant: zod.z
      .object({
        sequence: count,
        life,
        granted: count.max(instancePermits.MAX_WANTED),
        retryMilliseconds: age,
        limit: limitUpdateSchema.optional(),
        isCold: zod.z.boolean().optional(),
        warmUp: zod.z.tuple([...warmUpUpdate]).optional(),
      })
      .optional(),
  }),
});

/** Whether the bytes claim to be a message of this kind. */
export function isDirect(bytes: Uint8Array): boolean {
  const start = Buffer.from(bytes.subarray(0, PREFIX.length));
  return start.toString('latin1') === PREFIX;
}

/** Returns the message in the bytes, or undefined if they hold none. */
export function parse(bytes: Uint8Array): DirectMessage | undefined {
  if (bytes.length > MAX_BYTES) {
    return undefined;
  }
  try {
    const json: unknown = JSON.parse(Buffer.from(bytes).toString('utf8'));
    const parsed = messageSchema.safeParse(json);
    return parsed.success ? parsed.data.direct : undefined;
  } catch {
    // The receiver counts and logs unreadable messages.
    return undefined;
  }
}

/** Encodes a message. */
export function encode(message: DirectMessage): Buffer {
  return Buffer.from(JSON.stringify({direct: message}));
}
