/** Measured speeds of one gateway: who measures, and what placements are told. */
import * as instanceTable from '../instance_table';
import * as runTable from '../run_table';
import * as callOutlook from './call_outlook';
import * as engineOutlook from './engine_outlook';
import * as instanceSpeeds from './instance_speeds';
import * as pauseForecast from './pause_forecast';

/** Endpoints of which something is kept; the deployments have a few. */
const MAX_ENDPOINTS = 256;

/** Gaps below which events were held up before, by a link or a caller that reads slowly, in milliseconds. No engine is that fast. */
const MIN_GAP_MILLISECONDS = 2;

/** Answers that take less than this share of the expected time show that an instance may have recovered. */
const RECOVERY_SHARE = 0.5;

/** What is kept of one endpoint beside the speeds of its instances. */
interface EndpointState {
  readonly trials: callOutlook.SlowInstanceTrials;
  readonly forecast: pauseForecast.PauseForecast;
  /** Longest pause that the last route with such a limit allows; 0 before the first. */
  maxPauseMilliseconds: number;
  /** Whether the last long stream was as urgent as any generation of the endpoint. */
  areLongMostUrgent: boolean;
}

/** Measures the events that come from one instance for one stream. */
export class StreamObserver {
  constructor(
    private readonly speeds: instanceSpeeds.InstanceSpeeds,
    private readonly forecast: pauseForecast.PauseForecast,
    private readonly life: string,
    private readonly tokensPerEvent: number,
    private readonly runs: () => number,
  ) {}

  /** Adds the time between the previous events and these. */
  add(gapMilliseconds: number, events: number, now: number): void {
    if (gapMilliseconds < MIN_GAP_MILLISECONDS) {
      return;
    }
    const meter = this.speeds.engineMeter(this.life);
    const tokens = events * this.tokensPerEvent;
    if (meter.add(gapMilliseconds, tokens, this.runs, now)) {
      this.speeds.setOwn(this.life, meter.speed!, now);
    }
    // Several events at once were held up by a link or by this process.
    if (events === 1 && meter.speed !== undefined) {
      this.forecast.add(gapMilliseconds, tokens, meter.speed);
    }
  }
}

/** Speeds and pauses of all endpoints. */
export class MeasuredSpeeds {
  readonly speeds = new instanceSpeeds.InstanceSpeeds();
  private readonly endpoints = new Map<string, EndpointState>();

  constructor(
    private readonly runs: runTable.RunTable,
    /** Whether speeds are measured and used for placement. */
    readonly isEnabled: boolean,
  ) {}

  /** Observer for the part of a stream that comes from the instance; undefined if speeds are not measured. */
  observe(
    {record}: instanceTable.Instance,
    {tokensPerEvent}: runTable.Run,
  ): StreamObserver | undefined {
    if (!this.isEnabled) {
      return undefined;
    }
    return new StreamObserver(
      this.speeds,
      this.stateOf(record.endpoint).forecast,
      instanceTable.lifeOf(record),
      tokensPerEvent,
      () => this.runs.countAt(record.id),
    );
  }

  /** Records the answer time of a plain call. */
  recordAnswer(
    {record}: instanceTable.Instance,
    milliseconds: number,
    now: number,
  ): void {
    if (!this.isEnabled) {
      return;
    }
    const life = instanceTable.lifeOf(record);
    const expected = this.speeds.answerTime(life, now);
    this.speeds.recordAnswer(life, milliseconds, now);
    if (expected !== undefined && milliseconds < expected * RECOVERY_SHARE) {
      this.stateOf(record.endpoint).trials.followUp(record.id);
    }
  }

  /** What to expect of the instances for a plain call; undefined if they are not known to differ. */
  callOutlook(
    endpoint: string,
    instances: readonly instanceTable.Instance[],
    now: number,
  ): callOutlook.CallOutlook | undefined {
    if (!this.isEnabled) {
      return undefined;
    }
    const summary = this.speeds.summary(endpoint, instances, now);
    return summary.isUneven
      ? new callOutlook.CallOutlook(summary, this.stateOf(endpoint).trials)
      : undefined;
  }

  /** What to expect of the instances for the generation; undefined if they are not known to differ. */
  outlook(
    endpoint: string,
    instances: readonly instanceTable.Instance[],
    stream: engineOutlook.ForecastStream,
    now: number,
  ): engineOutlook.EngineOutlook | undefined {
    if (!this.isEnabled) {
      return undefined;
    }
    const state = this.stateOf(endpoint);
    state.maxPauseMilliseconds =
      stream.maxPauseMilliseconds || state.maxPauseMilliseconds;
    if (
      stream.isMostUrgent !== undefined &&
      engineOutlook.isLongStream(stream)
    ) {
      state.areLongMostUrgent = stream.isMostUrgent;
    }
    // Long streams that collect on the fast instances would be preempted there by more urgent ones.
    if (!state.areLongMostUrgent) {
      return undefined;
    }
    const summary = this.speeds.summary(endpoint, instances, now);
    const {forecast, maxPauseMilliseconds} = state;
    return summary.isUneven
      ? new engineOutlook.EngineOutlook(
          {...stream, maxPauseMilliseconds},
          summary,
          forecast,
        )
      : undefined;
  }

  private stateOf(endpoint: string): EndpointState {
    const known = this.endpoints.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    if (this.endpoints.size >= MAX_ENDPOINTS) {
      this.endpoints.clear();
    }
    const created = {
      trials: new callOutlook.SlowInstanceTrials(),
      forecast: new pauseForecast.PauseForecast(),
      maxPauseMilliseconds: 0,
      areLongMostUrgent: true,
    };
    this.endpoints.set(endpoint, created);
    return created;
  }
}
