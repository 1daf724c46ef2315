/** Status summaries that gateways send each other, and the state that they serve to those that are behind. */
import * as evacuatedDataCentres from '../availability/evacuated_data_centres';
import * as demandTable from '../admission/demand_table';
import * as configurationChange from '../configuration_change';
import * as crashTable from '../crash_table';
import * as engineReports from '../engine_reports';
import * as instanceTable from '../instance_table';
import * as leavingInstances from '../leaving_instances';
import * as instanceLimits from '../limits/instance_limits';
import * as warmUps from '../limits/warm_ups';
import * as promptPartTable from '../prompt_part_table';
import * as runTable from '../run_table';
import * as instanceSpeeds from '../speeds/instance_speeds';

/** Version of the messages between gateways that this build sends and reads. */
export const MESSAGE_VERSION = 1;
/** Version from which gateways read direct messages. */
export const DIRECT_MESSAGES_VERSION = 1;

/** Status summary of one gateway. */
export interface PeerDigest {
  readonly name: string;
  /** Address at which the gateway serves its state; empty when it serves none. */
  readonly stateAddress: string;
  readonly configurationVersion: number;
  /** Era of the state source to which its positions belong; absent before it is known, and from older builds. */
  readonly storeEra?: number;
  /** Position of its registry of instances. */
  readonly instancesPosition: number;
  /** Whether its last call to the state source failed. */
  readonly isSourceAway: boolean;
  /** Age of the source's last answer, in milliseconds; undefined unless the gateway watches the source. */
  readonly sourceAgeMilliseconds?: number;
  readonly loads: runTable.LoadsByInstance;
  readonly crashes: readonly crashTable.RelayedCrash[];
  /** Parts of prompts with crashes; absent when there are none, and from older builds. */
  readonly promptParts?: readonly promptPartTable.RelayedSuspect[];
  /** Parts of prompts that the gateway tries; absent when there are none, and from older builds. */
  readonly promptTrials?: readonly string[];
  /** Limits that instances name; absent when there are none, and from older builds. */
  readonly limits?: readonly instanceLimits.RelayedLimit[];
  /** Evacuated data centres as of a position; absent before they are known, if the gateway does not follow them, and from older builds. */
  readonly evacuated?: evacuatedDataCentres.RelayedEvacuations;
  /** Answers that said how long their instances stay cold; absent when there are none, and from older builds. */
  readonly warmUps?: readonly warmUps.RelayedWarmUp[];
  /** Instances that said themselves that they are about to stop; absent when there are none, and from older builds. */
  readonly leaving?: readonly leavingInstances.RelayedLeaving[];
  /** Generations that wait or were started lately; absent when there are none, and from older builds. */
  readonly demand?: readonly demandTable.EndpointDemand[];
  /** Engine reports that the gateway read itself; absent when there are none. */
  readonly reports?: readonly engineReports.RelayedReport[];
  /** Speeds of instances that the gateway measured; absent when there is nothing to tell, and from older builds. */
  readonly speeds?: readonly instanceSpeeds.RelayedSpeed[];
  /** IPs of other gateways; filled by the build before the fleet part, whose readers require the field. */
  readonly peers: readonly string[];
  /** Whether the gateway has a wide link; absent from older builds. */
  readonly isWide?: boolean;
  /** Version of its messages; absent from builds before version 1. */
  readonly messageVersion?: number;
  /** Time until the gateway exits, in milliseconds; undefined unless it is shutting down. */
  readonly endsInMilliseconds?: number;
}

/** State of a gateway, for peers that are behind. Older builds always give the whole configuration. */
export interface PeerState extends configurationChange.ConfigurationUpdate {
  /** Era of the state source, as in digests. */
  readonly storeEra?: number;
  readonly configurationRevision: number;
  readonly instancesPosition: number;
  readonly instances: readonly instanceTable.InstanceRecord[];
  /** Evacuated data centres; absent as in digests. */
  readonly evacuated?: evacuatedDataCentres.RelayedEvacuations;
}

/** Last digest of a peer. */
export interface PeerEntry {
  readonly digest: PeerDigest;
  /** Monotonic milliseconds at which the digest was received. */
  readonly receivedAt: number;
}
