/** Messages between entries, and reports that instances return for operators. */
import * as zod from 'zod';
import * as configurationMessages from './configuration_messages';

/** A request fingerprint that was running on an endpoint instance when it crashed. Entries may have cleared it since. */
export const crashRecordSchema = zod.z.object({
  fingerprint: zod.z.string(),
  /** Identifies one crash of one instance. */
  death: zod.z.string(),
  /** Unix time in milliseconds. */
  at: zod.z.number(),
});
export type CrashRecord = zod.z.infer<typeof crashRecordSchema>;

/** Exchange of revisions and crash records between two entries. */
export const gossipSchema = zod.z.object({
  instance: zod.z.string(),
  address: zod.z.string(),
  revision: zod.z.number(),
  /** Unix time in milliseconds at which the sender's instance list was read. */
  listReadAt: zod.z.number(),
  listHash: zod.z.string(),
  witnesses: zod.z.array(crashRecordSchema),
});
export type Gossip = zod.z.infer<typeof gossipSchema>;

/** Reply to a gossip message. */
export interface GossipReply {
  readonly revision: number;
  readonly listReadAt: number;
  readonly listHash: string;
  readonly witnesses: readonly CrashRecord[];
}

/** An instance list as relayed between entries. */
export const instanceListSnapshotSchema = zod.z.object({
  readAt: zod.z.number(),
  hash: zod.z.string(),
  instances: zod.z.array(
    zod.z.object({
      instance: zod.z.string(),
      role: zod.z.string(),
      address: zod.z.string(),
      dataCentre: zod.z.string(),
      endpoint: zod.z.string(),
      isLeaving: zod.z.boolean(),
    }),
  ),
});
export type InstanceListSnapshot = zod.z.infer<
  typeof instanceListSnapshotSchema
>;

/** Relays a change to other entries right after it was accepted. */
export const pushSchema = zod.z.object({
  sync: configurationMessages.syncReplySchema,
  fromRevision: zod.z.number(),
});
export type Push = zod.z.infer<typeof pushSchema>;

/** Status of an instance, as reported to operators. */
export interface StatusReport {
  readonly instance: string;
  readonly revision: number;
  readonly running: number;
  readonly waiting: number;
  readonly isLeaving: boolean;
  readonly incarnation: string;
  /** Models and adapters that the engine reports as loaded. */
  readonly loaded: readonly string[];
}

/** A finished span as returned to operators. */
export interface SpanReport {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
  readonly instance: string;
  readonly startMilliseconds: number;
  readonly durationMilliseconds: number;
  readonly attributes: Readonly<Record<string, string>>;
}
