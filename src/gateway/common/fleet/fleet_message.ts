/**
 * Datagrams between gateways. Gateways of the build before the fleet part
 * send and read `digest` and `change` alone, so these keep their meaning:
 * a message that one of them may receive holds the digest of its sender.
 */
import * as zod from 'zod';
import * as evacuatedDataCentres from '../availability/evacuated_data_centres';
import * as customerWork from '../admission/customer_work';
import * as demandTable from '../admission/demand_table';
import * as instanceRegistry from '../instance_registry';
import * as runTable from '../run_table';
import * as directMessage from './direct_message';
import * as memberTable from './member_table';
import * as peerDigest from './peer_digest';

/** Largest message, in bytes; always fits one datagram. */
export const MAX_MESSAGE_BYTES = 8_000;
/** Loads that a message keeps when it would otherwise be too large, those with the most memory. */
const MAX_SAMPLED_LOADS = 48;

/** A digest passed on by gateways that receive it for the first time. */
export interface Rumor {
  /** IP of the gateway that wrote the digest. */
  readonly origin: string;
  /** Rises with each rumor of one process. */
  readonly sequence: number;
  /** Distinguishes processes that ran at the same IP one after the other. */
  readonly process: number;
  /** Whether it tells of a change; others only repeat the state of their origin. */
  readonly isUrgent: boolean;
}

/** Part of a message about the fleet; absent in messages of older builds. */
export interface FleetPart {
  /** Incarnation of the gateway that wrote the digest. */
  readonly incarnation: number;
  /** Page of members known to the sender. */
  readonly members?: readonly memberTable.RelayedMember[];
  /** Number of live members that the sender knows; differs while one of both lacks some. */
  readonly liveCount?: number;
  /** IP after which the page that answers is to begin, in the order of IPs; drawn members without it. */
  readonly cursor?: string;
  /** Whether the page answers one of the receiver. */
  readonly isReply?: boolean;
  /** IP of a member that the receiver is asked to probe. */
  readonly probe?: string;
  /** IP of the gateway for which the sender probes the receiver. */
  readonly onBehalfOf?: string;
  readonly rumor?: Rumor;
}

/** Content of one datagram. */
export interface FleetMessage {
  readonly digest: peerDigest.PeerDigest;
  /** Instance changes that the writer of the digest read from the source. */
  readonly change?: instanceRegistry.RegistryChange;
  readonly fleet?: FleetPart;
}

/** Longest id of a part of a prompt, in characters. */
const MAX_PART_ID_LENGTH = 32;
/** Longest identifier of an instance's incarnation or of a request, in characters. */
const MAX_CRASH_ID_LENGTH = 256;
const MAX_SUSPECTS = 64;
const MAX_CRASHES_PER_SUSPECT = 16;
const MAX_TRIALS = 128;
const MAX_LIMITS = 64;
/** Longest identifier of an incarnation with its address, in characters. */
const MAX_LEAVING_LENGTH = 300;
const MAX_SPEEDS = 64;

const finite = zod.z.number().refine(Number.isFinite);
/** Time since something, in milliseconds. */
const age = zod.z.number().min(0).refine(Number.isFinite);
const loadSchema = zod.z.object({
  runs: finite,
  memoryTokens: finite,
  prefillTokens: finite,
  longRuns: finite.optional(),
});
const memberSchema = zod.z.tuple([
  zod.z.ipv4(),
  zod.z.string().max(256),
  finite,
  zod.z.enum(memberTable.MemberState),
  finite,
  finite,
]);
const suspectSchema = zod.z.tuple([
  zod.z.string().min(1).max(MAX_PART_ID_LENGTH),
  finite,
  age.nullable(),
  zod.z
    .array(
      zod.z.tuple([
        zod.z.string().max(MAX_CRASH_ID_LENGTH),
        zod.z.string().max(MAX_CRASH_ID_LENGTH),
        age,
      ]),
    )
    .max(MAX_CRASHES_PER_SUSPECT),
]);
const name = zod.z.string().max(customerWork.MAX_NAME_LENGTH);
const amount = zod.z.number().min(0).refine(Number.isFinite);
const demandSchema = zod.z.object({
  endpoint: name,
  waiting: zod.z
    .array(zod.z.tuple([amount, amount, amount]))
    .max(demandTable.MAX_URGENCIES),
  work: zod.z
    .array(zod.z.tuple([name, amount]))
    .max(customerWork.MAX_NAMED_CUSTOMERS),
  otherWork: amount,
});
const messageSchema = zod.z.object({
  digest: zod.z.looseObject({
    name: zod.z.string().min(1).max(256),
    stateAddress: zod.z.string().max(256),
    configurationVersion: finite,
    instancesPosition: finite,
    storeEra: zod.z.int().optional(),
    isSourceAway: zod.z.boolean(),
    sourceAgeMilliseconds: finite.optional(),
    loads: zod.z.record(zod.z.string(), loadSchema),
    crashes: zod.z.array(
      zod.z.object({
        fingerprint: zod.z.string(),
        life: zod.z.string(),
        ageMilliseconds: age.optional(),
      }),
    ),
    promptParts: zod.z.array(suspectSchema).max(MAX_SUSPECTS).optional(),
    promptTrials: zod.z
      .array(zod.z.string().min(1).max(MAX_PART_ID_LENGTH))
      .max(MAX_TRIALS)
      .optional(),
    limits: zod.z
      .array(directMessage.relayedLimitSchema)
      .max(MAX_LIMITS)
      .optional(),
    evacuated: evacuatedDataCentres.relayedEvacuationsSchema.optional(),
    warmUps: zod.z
      .array(directMessage.relayedWarmUpSchema)
      .max(MAX_LIMITS)
      .optional(),
    leaving: zod.z
      .array(zod.z.tuple([zod.z.string().min(1).max(MAX_LEAVING_LENGTH), age]))
      .max(MAX_LIMITS)
      .optional(),
    speeds: zod.z
      .array(
        zod.z.tuple([
          zod.z.string().max(MAX_CRASH_ID_LENGTH),
          zod.z.number().positive().refine(Number.isFinite),
          age,
        ]),
      )
      .max(MAX_SPEEDS)
      .optional(),
    demand: zod.z
      .array(demandSchema)
      .max(demandTable.MAX_RELAYED_ENDPOINTS)
      .optional(),
    messageVersion: finite.optional(),
    reports: zod.z
      .array(zod.z.tuple([zod.z.string(), finite, finite, finite]))
      .optional(),
    peers: zod.z.array(zod.z.ipv4()),
    endsInMilliseconds: finite.optional(),
    isWide: zod.z.boolean().optional(),
  }),
  change: zod.z
    .object({
      from: finite,
      to: finite,
      changes: zod.z.array(zod.z.looseObject({id: zod.z.string()})),
    })
    .optional(),
  fleet: zod.z
    .object({
      incarnation: finite,
      members: zod.z
        .array(memberSchema)
        .max(memberTable.MAX_PAGE_SIZE)
        .optional(),
      liveCount: finite.optional(),
      cursor: zod.z.string().max(15).optional(),
      isReply: zod.z.boolean().optional(),
      probe: zod.z.ipv4().optional(),
      onBehalfOf: zod.z.ipv4().optional(),
      rumor: zod.z
        .object({
          origin: zod.z.ipv4(),
          sequence: finite,
          process: finite,
          isUrgent: zod.z.boolean(),
        })
        .optional(),
    })
    .optional(),
});

/** Returns the message in the bytes, or undefined if they hold none. */
export function parse(bytes: Uint8Array): FleetMessage | undefined {
  if (bytes.length > MAX_MESSAGE_BYTES) {
    return undefined;
  }
  let json: unknown;
  try {
    json = JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    // The receiver counts and logs unreadable messages.
    return undefined;
  }
  const parsed = messageSchema.safeParse(json);
  return parsed.success ? (parsed.data as unknown as FleetMessage) : undefined;
}

/** A message as bytes, and what was left out to keep it within the bound. */
export interface EncodedMessage {
  readonly bytes: Buffer;
  readonly omitted: readonly string[];
}

/**
 * Encodes a message within MAX_MESSAGE_BYTES. What is left out first can be
 * had otherwise: changes are fetched by position, members come on later pages,
 * reports and speeds expire; of the loads the heaviest remain. Evacuated data
 * centres are never left out: without them requests would go where they must not.
 */
export function encode(message: FleetMessage): EncodedMessage {
  const omitted: string[] = [];
  let current = message;
  let bytes = Buffer.from(JSON.stringify(current));
  for (const [part, reduce] of REDUCTIONS) {
    if (bytes.length <= MAX_MESSAGE_BYTES) {
      break;
    }
    current = reduce(current);
    omitted.push(part);
    bytes = Buffer.from(JSON.stringify(current));
  }
  return {bytes, omitted};
}

type Reduction = readonly [string, (message: FleetMessage) => FleetMessage];

const REDUCTIONS: readonly Reduction[] = [
  ['change', message => ({...message, change: undefined})],
  [
    'members',
    message => ({
      ...message,
      fleet: message.fleet && {...message.fleet, members: undefined},
    }),
  ],
  [
    'reports',
    message => ({
      ...message,
      digest: {...message.digest, reports: undefined},
    }),
  ],
  [
    'speeds',
    message => ({...message, digest: {...message.digest, speeds: undefined}}),
  ],
  [
    'loads',
    message => ({
      ...message,
      digest: {...message.digest, loads: heaviest(message.digest.loads)},
    }),
  ],
  [
    'promptParts',
    message => ({
      ...message,
      digest: {...message.digest, promptParts: undefined},
    }),
  ],
  [
    'leaving',
    message => ({...message, digest: {...message.digest, leaving: undefined}}),
  ],
  [
    'warmUps',
    message => ({...message, digest: {...message.digest, warmUps: undefined}}),
  ],
  [
    'limits',
    message => ({...message, digest: {...message.digest, limits: undefined}}),
  ],
  [
    'demand',
    message => ({...message, digest: {...message.digest, demand: undefined}}),
  ],
  [
    'crashes',
    message => ({...message, digest: {...message.digest, crashes: []}}),
  ],
  [
    'allLoads',
    message => ({...message, digest: {...message.digest, loads: {}}}),
  ],
];

function heaviest(loads: runTable.LoadsByInstance): runTable.LoadsByInstance {
  return Object.fromEntries(
    Object.entries(loads)
      .sort(([, left], [, right]) => right.memoryTokens - left.memoryTokens)
      .slice(0, MAX_SAMPLED_LOADS),
  );
}
