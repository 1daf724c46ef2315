/** Creates the tables, clients and subsystems of a gateway, and connects them. */
import * as disposable from '../../base/common/disposable';
import * as blockPool from '../../base/node/block_pool';
import * as jsonLog from '../../base/node/json_log';
import * as limitReporter from '../../base/node/limit_reporter';
import * as metrics from '../../base/node/metrics';
import * as lengthPredictor from '../../decision/common/length_predictor';
import * as evacuationRule from '../common/availability/evacuation_rule';
import * as backOff from '../common/availability/back_off';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as regionRule from '../common/availability/region_rule';
import * as demandTable from '../common/admission/demand_table';
import * as crashTable from '../common/crash_table';
import * as engineReports from '../common/engine_reports';
import * as directMembers from '../common/fleet/direct_members';
import * as memberTable from '../common/fleet/member_table';
import * as watcherElection from '../common/fleet/watcher_election';
import * as instanceClient from '../common/instance_client';
import * as instanceLimits from '../common/limits/instance_limits';
import * as instanceRates from '../common/limits/instance_rates';
import * as limitedSend from '../common/limits/limited_send';
import * as warmUps from '../common/limits/warm_ups';
import * as memoryRoom from '../common/memory_room';
import * as promptPartTable from '../common/prompt_part_table';
import * as promptTrials from '../common/prompt_trials';
import * as repeatEvent from '../common/repeat_event';
import * as usageCounts from '../common/usage_counts';
import * as runTable from '../common/run_table';
import * as stateSource from '../common/state_source';
import * as measuredSpeeds from '../common/speeds/measured_speeds';
import * as tokenPace from '../common/token_pace';
import * as versionStore from '../common/versions/version_store';
import * as answerRecorder from './answer_recorder';
import * as evacuationFollower from './evacuation_follower';
import * as evacuationManager from './evacuation_manager';
import * as fleetExchange from './fleet/fleet_exchange';
import * as gatewayMetrics from './gateway_metrics';
import * as gatewayPolicies from './gateway_policies';
import * as gatewayServices from './gateway_services';
import * as gatewaySettings from './gateway_settings';
import * as generationAdmission from './generation_admission';
import * as generationScheduler from './generation_scheduler';
import * as coldInstances from './limits/cold_instances';
import * as permitService from './limits/permit_service';
import * as processHeap from './process_heap';
import * as reportReader from './report_reader';
import * as requestAcceptance from './request_acceptance';
import * as stateFollower from './state_follower';
import * as streamOrigins from './versions/stream_origins';

/** Link width from which a gateway watches the store for others first, in Mbit/s. */
const WIDE_LINK_MEGABITS = 100;

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly settings: gatewaySettings.GatewaySettings;
  readonly registry: metrics.MetricsRegistry;
  readonly metrics: gatewayMetrics.GatewayMetrics;
  readonly log: jsonLog.JsonLog;
  readonly source: stateSource.StateSource;
  readonly versionStore: versionStore.VersionStore;
  readonly client: instanceClient.InstanceClient;
  readonly decoder: requestAcceptance.CallerDecoder;
  /** Reports the limits for those who connect. */
  readonly limits: limitReporter.LimitReporter;
  /** The process's own by default. */
  readonly heap?: processHeap.Heap;
}

/** The connected parts of a gateway. */
export interface GatewayAssembly {
  readonly services: gatewayServices.GatewayServices;
  readonly exchange: fleetExchange.FleetExchange;
  readonly evacuatedDataCentres: evacuationFollower.EvacuationFollower;
  /** Undefined if evacuations are not followed. */
  readonly evacuationRule: evacuationRule.EvacuationRule | undefined;
  /** Parts that only have to be released. */
  readonly disposables: readonly disposable.Disposable[];
}

/** Creates all parts; none of them is started. */
export function assemble(options: GatewayOptions): GatewayAssembly {
  const {settings, log, client} = options;
  const shares = gatewayPolicies.divideMachine(settings);
  const pool = new blockPool.BlockPool();
  const {measured_speeds: isMeasuring} = settings.placement;
  const runs = new runTable.RunTable(isMeasuring);
  const speeds = new measuredSpeeds.MeasuredSpeeds(runs, isMeasuring);
  const crashes = new crashTable.CrashTable();
  const promptParts = new promptPartTable.PromptPartTable();
  const reports = new engineReports.EngineReports();
  const limits = new instanceLimits.InstanceLimits();
  const cold = new warmUps.WarmUps();
  const demand = new demandTable.DemandTable();
  const predictor = new lengthPredictor.LengthPredictor();
  const pace = new tokenPace.TokenPace();
  const {ip, name, link_megabits: linkMegabits} = settings.instance;
  const trials = new promptTrials.PromptTrials(name);
  const members = new memberTable.MemberTable(
    {ip, name, isWide: linkMegabits >= WIDE_LINK_MEGABITS},
    gatewaySettings.seedIps(settings),
  );
  const peers = new directMembers.DirectMembers(members, performance.now());
  const follower = new stateFollower.StateFollower(
    options.source,
    new watcherElection.WatcherElection(members),
    log,
  );
  const evacuationBound = settings.evacuation.bound_milliseconds;
  const evacuatedDataCentres = new evacuationFollower.EvacuationFollower(
    evacuationBound,
    name,
    options.source,
    follower,
    options.metrics,
    log,
  );
  const rule =
    evacuationBound > 0
      ? new evacuationRule.EvacuationRule(
          evacuatedDataCentres.dataCentres,
          performance.now(),
          evacuationBound,
        )
      : undefined;
  const ramps = new coldInstances.ColdInstances(
    follower,
    cold,
    evacuatedDataCentres.dataCentres,
    options.metrics,
    log,
  );
  const exchange = new fleetExchange.FleetExchange(
    {
      stateAddress: settings.listen.peers,
      digestPort: settings.peers.digest_port,
    },
    {
      members,
      runs,
      demand,
      crashes,
      promptParts,
      promptTrials: trials,
      reports,
      limits,
      warmUps: cold,
      speeds: speeds.speeds,
    },
    follower,
    evacuatedDataCentres,
    options.metrics,
    {bounds: shares.peerServer, limits: options.limits},
    log,
  );
  const permits = new permitService.PermitService(
    members,
    peers,
    new instanceRates.InstanceRates(limits, cold, life => ramps.rampOf(life)),
    exchange,
  );
  // The first objection counts. A draining instance may still be used for its copies, one that an earlier rule excludes may not.
  const backOffs = new backOff.BackOffs();
  const availability = new instanceAvailability.InstanceAvailability([
    ...(rule === undefined ? [] : [rule]),
    new regionRule.RegionRule(settings.instance.regions),
    new instanceAvailability.DrainingRule(),
    new backOff.BackOffRule(backOffs),
  ]);
  const scheduler = new generationScheduler.GenerationScheduler(
    follower,
    runs,
    predictor,
    settings.instance.data_centre,
    members,
    reports,
    permits,
    availability,
    speeds,
    new generationAdmission.GenerationAdmission(
      {
        follower,
        availability,
        reports,
        demand,
        pace,
        metrics: options.metrics,
      },
      settings.admission?.fair_shares === true,
    ),
  );
  const services: gatewayServices.GatewayServices = {
    dataCentre: settings.instance.data_centre,
    log,
    metrics: options.metrics,
    follower,
    client,
    availability,
    backOffs,
    coldInstances: cold,
    answers: new answerRecorder.AnswerRecorder(
      follower,
      limits,
      cold,
      backOffs,
      options.metrics,
    ),
    runs,
    crashes,
    promptParts,
    promptTrials: trials,
    limits,
    permits,
    origins: new streamOrigins.StreamOrigins(follower, peers, exchange, log, {
      store: options.versionStore,
      gatewayName: name,
      isFirstStart: settings.instance.bootstrap,
    }),
    limitUsage: new usageCounts.UsageCounts(
      Object.values(limitedSend.LimitedSend),
    ),
    retries: gatewayPolicies.createRetryLimiter(settings, members, peers),
    retryUsage: new usageCounts.UsageCounts(
      Object.values(repeatEvent.RepeatEvent),
    ),
    hedges: gatewayPolicies.createHedgePolicy(settings),
    buffers: gatewayPolicies.createDeliveryBuffers(settings),
    room: new memoryRoom.MemoryRoom(gatewayPolicies.machineOf(settings)),
    blocks: pool,
    bodies: gatewayPolicies.createBodyStore(shares, pool, options.limits),
    members,
    predictor,
    pace,
    speeds,
    scheduler,
    evacuations: new evacuationManager.EvacuationManager(
      follower,
      client,
      scheduler,
      runs,
      options.metrics,
      log,
    ),
  };
  return {
    services,
    exchange,
    evacuatedDataCentres,
    evacuationRule: rule,
    disposables: [
      ramps,
      new reportReader.ReportReader(follower, client, runs, reports),
    ],
  };
}
