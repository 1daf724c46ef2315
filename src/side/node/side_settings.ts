/** Settings of a side process. */
import * as zod from 'zod';
import * as settingsFile from '../../base/node/settings_file';

/** Kinds of endpoint that a side process can serve. */
export enum EndpointRole {
  Engine = 'engine',
  Service = 'service',
}

/** Section [endpoint]. */
export const endpointSchema = zod.z.strictObject({
  name: zod.z.string().min(1),
  kind: zod.z.enum(EndpointRole),
  url: zod.z.url({protocol: /^http$/, error: 'an http URL'}),
  /** Idle time of an engine stream after which it is reopened. */
  idle_milliseconds: settingsFile.numberSetting(100, 600_000).default(5_000),
  /** Memory capacity assumed until the engine reports its own, in tokens. */
  capacity_tokens: settingsFile.numberSetting(1, 1e9).default(100_000),
});

/** Section [admission]. The settings are described in AdmissionPolicy. */
export const admissionSchema = zod.z.strictObject({
  memory_deviations: settingsFile.numberSetting(0, 10).default(1.5),
  memory_share: settingsFile.numberSetting(0.1, 1).default(0.97),
  quick_reserve: settingsFile.numberSetting(0, 0.9).default(0.03),
  max_running: settingsFile.numberSetting(1, 10_000).default(128),
  draft_patience_milliseconds: settingsFile
    .numberSetting(0, 3_600_000)
    .default(60_000),
  quick_wait_limit_milliseconds: settingsFile
    .numberSetting(0, 3_600_000)
    .default(5_000),
  draft_wait_limit_milliseconds: settingsFile
    .numberSetting(0, 86_400_000)
    .default(300_000),
});

/** Section [attempts]. The settings are described in DetachmentPolicy. */
export const attemptsSchema = zod.z.strictObject({
  reattach_grace_milliseconds: settingsFile
    .numberSetting(0, 3_600_000)
    .default(30_000),
  retention_milliseconds: settingsFile
    .numberSetting(0, 3_600_000)
    .default(60_000),
});

/** Settings of the endpoint that this process serves. */
export type EndpointSettings = zod.z.infer<typeof endpointSchema>;
/** Settings of admission. */
export type AdmissionSettings = zod.z.infer<typeof admissionSchema>;
/** Settings of attempts whose caller is disconnected. */
export type AttemptSettings = zod.z.infer<typeof attemptsSchema>;
