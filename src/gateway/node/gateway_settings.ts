/** The settings file of a gateway. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as failure from '../../base/common/failure';
import * as settingsFile from '../../base/node/settings_file';
import * as retryLimiter from '../common/retry_limiter';

/** A setting that may be empty, as templates leave it if the platform has no value. */
function optional<T>(schema: zod.ZodType<T>, fallback: T): zod.ZodType<T> {
  return zod.z.preprocess(
    value => (value === '' || value === undefined ? undefined : value),
    schema.optional().transform(value => value ?? fallback),
  ) as unknown as zod.ZodType<T>;
}

/** The region in an entry of the setting, which is the region itself or a description with it. */
const regionSchema = zod.z.union([
  zod.z.string(),
  zod.z.looseObject({region: zod.z.string()}).transform(each => each.region),
]);

/** Regions by data centre, as JSON. Entries of another form have no region, so that they cannot keep a gateway from starting. */
const regionsSetting: zod.ZodType<Readonly<Record<string, string>>> = zod.z
  .string()
  .transform((text, context) => {
    const entries = parseEntries(text);
    if (entries === undefined) {
      context.addIssue('regions by data centre, as a JSON object');
      return zod.z.NEVER;
    }
    return Object.fromEntries(
      entries.flatMap(([dataCentre, value]) => {
        const region = regionSchema.safeParse(value);
        return region.success ? [[dataCentre, region.data]] : [];
      }),
    );
  });

function parseEntries(text: string): [string, unknown][] | undefined {
  try {
    const value = JSON.parse(text) as unknown;
    const isObject =
      typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? Object.entries(value) : undefined;
  } catch {
    // The schema reports what was expected.
    return undefined;
  }
}

const address = settingsFile.addressSetting();
const port = settingsFile.numberSetting(0, 65_535);

/** Schema of the whole file. */
export const gatewayFileSchema = zod.z.object({
  instance: zod.z.object({
    name: zod.z.string().min(1, 'the name of this instance'),
    data_centre: zod.z.string().min(1, 'the name of a data centre'),
    /** IP at which other gateways reach this one. */
    ip: zod.z.string().min(1, 'an IP address'),
    /** Whether the whole system starts for the first time. */
    bootstrap: optional(
      settingsFile.flagSetting() as zod.ZodType<boolean>,
      true,
    ),
    /** Regions of all data centres, as JSON; an unknown region is in no list of allowed regions. */
    regions: optional(regionsSetting, {}),
    /** Width of the link of this instance, in Mbit/s. */
    link_megabits: optional(
      settingsFile.numberSetting(0, 1_000_000) as zod.ZodType<number>,
      0,
    ),
  }),
  listen: zod.z.object({
    callers: address,
    readiness: address,
    /** Where state is served to other gateways; empty to serve none. */
    peers: optional(zod.z.string(), ''),
    /** Port of the metrics; 0 to serve none. */
    metrics_port: optional(port as zod.ZodType<number>, 0),
  }),
  peers: zod.z.object({
    /** Addresses of some gateways, separated by commas. */
    seeds: optional(zod.z.string(), ''),
    /** UDP port for messages between gateways; must be the same on all of them. */
    digest_port: port,
  }),
  platform: zod.z.object({store: address}),
  shutdown: zod.z.object({
    grace_seconds: optional(
      settingsFile.numberSetting(0, 3_600) as zod.ZodType<number>,
      8,
    ),
  }),
  evacuation: zod.z.preprocess(
    value => value ?? {},
    zod.z.object({
      /** Time within which an evacuation of a data centre is in force, in milliseconds; 0 to follow none. */
      bound_milliseconds: optional(
        settingsFile.numberSetting(0, 3_600_000) as zod.ZodType<number>,
        0,
      ),
    }),
  ),
  /** Absent from the files of older builds. */
  placement: optional(
    zod.z.object({
      /** Whether requests are placed by the measured speeds of instances. */
      measured_speeds: optional(
        settingsFile.flagSetting() as zod.ZodType<boolean>,
        false,
      ),
    }),
    {measured_speeds: false},
  ),
  /** Absent in files written for older builds. */
  admission: zod.z
    .object({
      /** Whether generations wait at the gateway for room, and customers share it fairly. */
      fair_shares: optional(
        settingsFile.flagSetting() as zod.ZodType<boolean>,
        false,
      ),
    })
    .optional(),
  retries: zod.z.object({
    window_seconds: optional(
      settingsFile.numberSetting(0.1, 3_600) as zod.ZodType<number>,
      10,
    ),
    ratio: optional(
      settingsFile.numberSetting(0, 10) as zod.ZodType<number>,
      0.1,
    ),
    allowance: optional(
      settingsFile.numberSetting(0, 1_000_000) as zod.ZodType<number>,
      10,
    ),
  }),
  /** Absent in files written for older builds. */
  hedging: zod.z
    .object({
      /** Maximum number of second sends per request; 0 to send none. */
      max_share: optional(
        settingsFile.numberSetting(0, 1) as zod.ZodType<number>,
        0,
      ),
    })
    .optional(),
  /** Absent in files written for older builds. */
  limits: zod.z
    .object({
      /** Memory of the machine; 0 to hold nothing for callers who read slowly, and to divide a usual machine for the rest. */
      memory_megabytes: optional(
        settingsFile.numberSetting(0, 10_000_000) as zod.ZodType<number>,
        0,
      ),
      /** Descriptors of the process; 0 for the usual number. */
      max_descriptors: optional(
        settingsFile.numberSetting(0, 10_000_000) as zod.ZodType<number>,
        0,
      ).optional(),
    })
    .optional(),
});

/** Settings of a gateway. */
export type GatewaySettings = zod.infer<typeof gatewayFileSchema>;

/** Errors: SettingsUnreadable, SettingsInvalid. */
export function readGatewaySettings(
  path: string,
): neverthrow.Result<GatewaySettings, failure.Failure> {
  return settingsFile.readSettings(path, gatewayFileSchema);
}

/** IPs of the seeds, which are written with a port. */
export function seedIps(settings: GatewaySettings): string[] {
  return settings.peers.seeds
    .split(',')
    .map(seed => seed.split(':')[0].trim())
    .filter(ip => ip.length > 0);
}

/** Retry budget of all gateways together. */
export function retryPolicy(
  settings: GatewaySettings,
): retryLimiter.RetryPolicy {
  const {window_seconds, ratio, allowance} = settings.retries;
  return {windowMilliseconds: window_seconds * 1000, ratio, allowance};
}
