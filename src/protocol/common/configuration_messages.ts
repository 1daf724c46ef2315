/** Messages that relay the configuration, and its stored form in the object API. */
import * as zod from 'zod';

/** A declared object as stored and relayed. */
export const storedObjectSchema = zod.z.object({
  kind: zod.z.number(),
  name: zod.z.string(),
  version: zod.z.number(),
  isRemoved: zod.z.boolean(),
  /** JSON form of the object's message; empty for a removed object. */
  json: zod.z.string(),
});
export type StoredObject = zod.z.infer<typeof storedObjectSchema>;

/** A change set that was accepted as one revision. */
export const acceptedChangeSchema = zod.z.object({
  revision: zod.z.number(),
  changeId: zod.z.string(),
  objects: zod.z.array(storedObjectSchema),
});
export type AcceptedChange = zod.z.infer<typeof acceptedChangeSchema>;

/** The stored object that determines the current revision. */
export const configurationHeadSchema = zod.z.object({
  revision: zod.z.number(),
  /** Revision that the stored snapshot represents. */
  snapshotRevision: zod.z.number(),
  /** Number of stored objects over which the snapshot is divided. */
  snapshotChunks: zod.z.number(),
  /** Most recent changes, oldest first; the snapshot may contain some of them already. */
  changes: zod.z.array(acceptedChangeSchema),
});
export type ConfigurationHead = zod.z.infer<typeof configurationHeadSchema>;

/** Request for the changes after a revision. */
export const syncRequestSchema = zod.z.object({
  instance: zod.z.string(),
  revision: zod.z.number(),
  /** Leaves out customers, which side processes do not need. */
  withoutCustomers: zod.z.boolean(),
});
export type SyncRequest = zod.z.infer<typeof syncRequestSchema>;

/** Changes after a revision, or a snapshot of all objects where those changes are no longer known. */
export const syncReplySchema = zod.z.object({
  revision: zod.z.number(),
  isSnapshot: zod.z.boolean(),
  objects: zod.z.array(storedObjectSchema),
});
export type SyncReply = zod.z.infer<typeof syncReplySchema>;
