/**
 * Costs of placing one generation on engines of different speed: its own
 * pauses, those that its prompt causes to running streams, and its first event
 * beyond the objective. Meant for long streams that must not pause beside short
 * ones with long prompts.
 */
import * as instanceTable from '../instance_table';
import * as runTable from '../run_table';
import * as instanceSpeeds from './instance_speeds';
import * as pauseForecast from './pause_forecast';

/** Prompt tokens that an engine of speed 1 reads in a millisecond. */
const PROMPT_TOKENS_PER_MILLISECOND = 14;
/** Share of time that an engine spends on running streams while it reads prompts. */
const DECODING_ALLOWANCE = 1.25;
/** Cost of one prompt token that is read ahead of the first event at the median speed, in milliseconds; as in `placement`. */
const PROMPT_TOKEN_COST_MILLISECONDS = 0.14;
/** Forecast pauses, as shares of the longest one allowed, between which it becomes certain that a stream pauses too long. */
const SAFE_PAUSE_SHARE = 0.94;
const LONG_PAUSE_SHARE = 1.04;
/** Events from which a stream is expected to meet the reading of some prompt. */
const MEETING_EVENTS = 30;
/** Cost of a long stream that pauses too long, in milliseconds. Above that of an engine whose memory is full, since both delay the stream but only one is certain. */
const STALL_COST_MILLISECONDS = 1_200;
/** Cost of each long stream that the prompt would make pause too long, in milliseconds. Less than for a new stream: other prompts may make it pause anyway. */
const HARM_COST_MILLISECONDS = 300;
/** Cost of each long stream beside which the prompt of a short one is read, in milliseconds: in a slow spell any of them pauses too long. */
const NEIGHBOUR_COST_MILLISECONDS = 40;
const MAX_COUNTED_NEIGHBOURS = 5;
/** Share of the objective within which the first event is expected; later ones cost. */
const OBJECTIVE_SHARE = 0.6;
const LATENESS_FACTOR = 2;

/** What matters of a generation for its pauses. */
export interface ForecastStream {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly tokensPerEvent: number;
  /** Absent if the stream has begun. */
  readonly objectiveMilliseconds?: number;
  /** Whether no generations of the endpoint are more urgent; absent if it is not known. */
  readonly isMostUrgent?: boolean;
  /** Longest pause that the route allows, in milliseconds; 0 if it declares none, absent if it is not known. */
  readonly maxPauseMilliseconds?: number;
}

/** Whether pauses in the stream are likely to be noticed. */
export function isLongStream({
  expectedTokens,
  tokensPerEvent,
}: ForecastStream): boolean {
  return expectedTokens / tokensPerEvent >= runTable.LONG_STREAM_EVENTS;
}

/** What is expected of the instances of one endpoint for one generation. */
export class EngineOutlook {
  private readonly isLong: boolean;
  /** Share of the cost of a pause that applies to the generation itself. */
  private readonly exposure: number;

  constructor(
    private readonly stream: ForecastStream,
    private readonly summary: instanceSpeeds.SpeedSummary,
    private readonly forecast: pauseForecast.PauseForecast,
  ) {
    const events = stream.expectedTokens / stream.tokensPerEvent;
    this.isLong = isLongStream(stream);
    this.exposure = this.isLong ? Math.min(1, events / MEETING_EVENTS) : 0;
  }

  /** Measured speed of the instance, or the median of the others. */
  speedOf(instance: instanceTable.Instance): number {
    return this.summary.speeds.get(instance.record.id) ?? this.summary.median;
  }

  /** Expected longest pause of a stream at the instance while a prompt is read there, in milliseconds. */
  longestPause(instance: instanceTable.Instance): number {
    const {tokensPerEvent} = this.stream;
    return this.forecast.longestPause(tokensPerEvent, this.speedOf(instance));
  }

  /** Whether the generation would neither pause too long at the instance nor make others do so. */
  isSuitable(
    instance: instanceTable.Instance,
    load: runTable.InstanceLoad | undefined,
  ): boolean {
    const isExposed = this.isLong || (load?.longRuns ?? 0) > 0;
    return !isExposed || this.stallRisk(instance) < 0.5;
  }

  /** Cost of the generation at the instance beyond that at one of median speed, in milliseconds. */
  cost(
    instance: instanceTable.Instance,
    load: runTable.InstanceLoad | undefined,
  ): number {
    const {promptTokens, objectiveMilliseconds = Infinity} = this.stream;
    const speed = this.speedOf(instance);
    const tokens = (load?.prefillTokens ?? 0) + promptTokens;
    const neighbours = Math.min(load?.longRuns ?? 0, MAX_COUNTED_NEIGHBOURS);
    const reading =
      (tokens * DECODING_ALLOWANCE) / (PROMPT_TOKENS_PER_MILLISECOND * speed);
    const lateness = reading - objectiveMilliseconds * OBJECTIVE_SHARE;
    return (
      tokens *
        PROMPT_TOKEN_COST_MILLISECONDS *
        (this.summary.median / speed - 1) +
      Math.max(0, lateness) * LATENESS_FACTOR +
      this.stallRisk(instance) *
        (this.exposure * STALL_COST_MILLISECONDS +
          neighbours * HARM_COST_MILLISECONDS) +
      (this.isLong ? 0 : neighbours * NEIGHBOUR_COST_MILLISECONDS)
    );
  }

  /** How likely a prompt that is read makes a long stream at the instance pause too long. */
  private stallRisk(instance: instanceTable.Instance): number {
    const {maxPauseMilliseconds = 0} = this.stream;
    if (maxPauseMilliseconds === 0) {
      return 0;
    }
    const share = this.longestPause(instance) / maxPauseMilliseconds;
    const risk =
      (share - SAFE_PAUSE_SHARE) / (LONG_PAUSE_SHARE - SAFE_PAUSE_SHARE);
    return Math.max(0, Math.min(1, risk));
  }
}
