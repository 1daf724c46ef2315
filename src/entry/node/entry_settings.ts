/** Settings of an entry. */
import * as zod from 'zod';
import * as settingsFile from '../../base/node/settings_file';

/** Section [callers]. */
export const callersSchema = zod.z.strictObject({
  max_body_bytes: settingsFile
    .numberSetting(1_024, 64 * 1024 * 1024)
    .default(1_048_576),
  default_max_tokens: settingsFile.numberSetting(1, 1_000_000).default(256),
  /** Requests of up to this many tokens are quick unless they set a priority. */
  quick_max_tokens: settingsFile.numberSetting(0, 1_000_000).default(128),
  service_timeout_milliseconds: settingsFile
    .numberSetting(100, 600_000)
    .default(30_000),
});

/** Section [limits]. */
export const limitsSchema = zod.z.strictObject({
  /** Memory of the process, of which a part may hold what callers send. */
  memory_megabytes: settingsFile.numberSetting(64, 10_000_000).default(256),
});

/** Section [operators]. */
export const operatorsSchema = zod.z.strictObject({
  token_file: zod.z.string().min(1),
});

/** Section [links]. */
export const linksSchema = zod.z.strictObject({
  /** Number of instances of each endpoint that this entry opens links to. */
  per_endpoint: settingsFile.numberSetting(1, 10_000).default(8),
});

/** Settings for callers. */
export type CallerSettings = zod.z.infer<typeof callersSchema>;
/** Limits of the process. */
export type LimitSettings = zod.infer<typeof limitsSchema>;
/** Settings for links. */
export type LinkSettings = zod.z.infer<typeof linksSchema>;
