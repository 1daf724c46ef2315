/** Settings common to all roles. */
import * as zod from 'zod';
import * as settingsFile from './settings_file';

/** Roles of the daemon. */
export enum ProcessRole {
  Entry = 'entry',
  Side = 'side',
}

/** Section [instance]. */
export const instanceSchema = zod.z.strictObject({
  role: zod.z.enum(ProcessRole, {error: 'entry or side'}),
  name: zod.z
    .string()
    .regex(/^[a-z0-9-]{1,63}$/, 'up to 63 characters of a-z, 0-9 and -'),
  data_centre: zod.z.string().min(1, 'the name of a data centre'),
  listen: settingsFile.addressSetting(),
});

/** Section [cluster]. */
export const clusterSchema = zod.z.strictObject({
  /** File with the token by which the processes of a deployment authenticate each other. */
  token_file: zod.z.string().min(1),
});

/** Section [platform]. */
export const platformSchema = zod.z.strictObject({
  url: zod.z.url({protocol: /^http$/, error: 'an http URL'}),
  token_file: zod.z.string().min(1),
});

/** Section [observability]. */
export const observabilitySchema = zod.z.strictObject({
  /** Scopes of the debug library; empty for none. */
  logs: zod.z.string().default('rhubarbvane:*'),
  /** URL of an OpenTelemetry collector; empty for none. */
  trace_collector: zod.z.string().default(''),
});

/** Settings of the process itself. */
export type InstanceSettings = zod.z.infer<typeof instanceSchema>;
