/** Objects that all calls of one gateway share. */
import * as lengthPredictor from '../../decision/common/length_predictor';
import * as blockPool from '../../base/node/block_pool';
import * as bodyStore from '../../base/node/body_store';
import * as jsonLog from '../../base/node/json_log';
import * as backOff from '../common/availability/back_off';
import * as instanceAvailability from '../common/availability/instance_availability';
import * as crashTable from '../common/crash_table';
import * as deliveryBuffers from '../common/delivery_buffers';
import * as memberTable from '../common/fleet/member_table';
import * as hedgePolicy from '../common/hedging/hedge_policy';
import * as instanceClient from '../common/instance_client';
import * as instanceLimits from '../common/limits/instance_limits';
import * as limitedSend from '../common/limits/limited_send';
import * as warmUps from '../common/limits/warm_ups';
import * as memoryRoom from '../common/memory_room';
import * as promptPartTable from '../common/prompt_part_table';
import * as promptTrials from '../common/prompt_trials';
import * as repeatEvent from '../common/repeat_event';
import * as retryLimiter from '../common/retry_limiter';
import * as runTable from '../common/run_table';
import * as measuredSpeeds from '../common/speeds/measured_speeds';
import * as tokenPace from '../common/token_pace';
import * as usageCounts from '../common/usage_counts';
import * as answerRecorder from './answer_recorder';
import * as evacuationManager from './evacuation_manager';
import * as gatewayMetrics from './gateway_metrics';
import * as generationScheduler from './generation_scheduler';
import * as permitService from './limits/permit_service';
import * as stateFollower from './state_follower';
import * as streamOrigins from './versions/stream_origins';

/** Tables, clients and subsystems of one gateway. */
export interface GatewayServices {
  readonly dataCentre: string;
  readonly log: jsonLog.JsonLog;
  readonly metrics: gatewayMetrics.GatewayMetrics;
  readonly follower: stateFollower.StateFollower;
  readonly client: instanceClient.InstanceClient;
  /** Which instances may get which requests. */
  readonly availability: instanceAvailability.InstanceAvailability;
  /** Instances that this gateway sends nothing to for some time. */
  readonly backOffs: backOff.BackOffs;
  /** When cold instances become warm. */
  readonly coldInstances: warmUps.WarmUps;
  /** Records what instances say of themselves. */
  readonly answers: answerRecorder.AnswerRecorder;
  readonly runs: runTable.RunTable;
  readonly crashes: crashTable.CrashTable;
  readonly promptParts: promptPartTable.PromptPartTable;
  readonly promptTrials: promptTrials.PromptTrials;
  /** Limits that instances name, and the requests sent to such instances. */
  readonly limits: instanceLimits.InstanceLimits;
  readonly permits: permitService.PermitService;
  readonly limitUsage: usageCounts.UsageCounts<limitedSend.LimitedSend>;
  readonly origins: streamOrigins.StreamOrigins;
  readonly retries: retryLimiter.RetryLimiter;
  /** Repeated sends by endpoint. */
  readonly retryUsage: usageCounts.UsageCounts<repeatEvent.RepeatEvent>;
  /** Undefined if calls are not hedged. */
  readonly hedges: hedgePolicy.HedgePolicy | undefined;
  /** Undefined if instances are read only as fast as their callers read. */
  readonly buffers: deliveryBuffers.DeliveryBuffers | undefined;
  /** What the heap leaves to callers. */
  readonly room: memoryRoom.MemoryRoom;
  /** Memory for what is held of bodies and answers. */
  readonly blocks: blockPool.BlockPool;
  /** Bodies of callers' requests. */
  readonly bodies: bodyStore.BodyStore;
  readonly members: memberTable.MemberTable;
  readonly predictor: lengthPredictor.LengthPredictor;
  readonly pace: tokenPace.TokenPace;
  readonly speeds: measuredSpeeds.MeasuredSpeeds;
  readonly scheduler: generationScheduler.GenerationScheduler;
  readonly evacuations: evacuationManager.EvacuationManager;
}
