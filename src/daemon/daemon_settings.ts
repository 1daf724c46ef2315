/** The settings file of the daemon. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as failure from '../base/common/failure';
import * as processSettings from '../base/node/process_settings';
import * as settingsFile from '../base/node/settings_file';
import * as entrySettings from '../entry/node/entry_settings';
import * as sideSettings from '../side/node/side_settings';

const commonSections = {
  instance: processSettings.instanceSchema,
  cluster: processSettings.clusterSchema,
  platform: processSettings.platformSchema,
  observability: processSettings.observabilitySchema.prefault({}),
};

const entryFileSchema = zod.z.strictObject({
  ...commonSections,
  operators: entrySettings.operatorsSchema,
  callers: entrySettings.callersSchema.prefault({}),
  links: entrySettings.linksSchema.prefault({}),
  limits: entrySettings.limitsSchema.prefault({}),
});

const sideFileSchema = zod.z.strictObject({
  ...commonSections,
  endpoint: sideSettings.endpointSchema,
  admission: sideSettings.admissionSchema.prefault({}),
  attempts: sideSettings.attemptsSchema.prefault({}),
});

const roleSchema = zod.z.looseObject({
  instance: zod.z.looseObject({
    role: zod.z.enum(processSettings.ProcessRole, {error: 'entry or side'}),
  }),
});

/** Contents of the settings file of an entry. */
export type EntryFile = zod.z.infer<typeof entryFileSchema>;
/** Contents of the settings file of a side process. */
export type SideFile = zod.z.infer<typeof sideFileSchema>;

/** Settings of the configured role; exactly one field is set. */
export interface DaemonSettings {
  readonly entry?: EntryFile;
  readonly side?: SideFile;
}

/** Reads and validates a settings file. Errors: SettingsUnreadable, SettingsInvalid. */
export function readDaemonSettings(
  path: string,
): neverthrow.Result<DaemonSettings, failure.Failure> {
  return settingsFile
    .readTextFile(path)
    .andThen(text => parseDaemonSettings(path, text));
}

/** Validates the text of a settings file; the path is for messages. Errors: SettingsInvalid. */
export function parseDaemonSettings(
  path: string,
  text: string,
): neverthrow.Result<DaemonSettings, failure.Failure> {
  return settingsFile
    .parseSettings(path, text, roleSchema)
    .andThen<DaemonSettings, failure.Failure>(file => {
      if (file.instance.role === processSettings.ProcessRole.Entry) {
        return settingsFile
          .parseSettings(path, text, entryFileSchema)
          .map(entry => ({entry}));
      }
      return settingsFile
        .parseSettings(path, text, sideFileSchema)
        .map(side => ({side}));
    });
}
