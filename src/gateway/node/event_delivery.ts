/**
 * Delivers the events of a generation to its caller, whichever instances they
 * come from. An incomplete event is never delivered.
 * Events with numeric ids are neither repeated nor skipped when the stream
 * continues at another instance. Events of a continuation without such an id are
 * not delivered: they may be the text of an error.
 */
import * as eventSplitter from '../common/event_splitter';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as measuredSpeeds from '../common/speeds/measured_speeds';
import * as callContext from './call_context';
import * as callerSink from './caller_sink';

/** Size from which an incomplete event counts as held, in bytes; most events are smaller. */
const MIN_HELD_BYTES = 16_384;

/** The event stream to one caller. */
export class EventDelivery {
  private splitter = new eventSplitter.EventSplitter();
  private isHeadWritten = false;
  private segmentTimes: {readonly first: number; latest: number} | undefined;
  private deliveredBefore = 0;
  private lastId: string | undefined;
  /** Whether the segment continues a stream whose events have ids. */
  private isContinuation = false;
  private firstEventAt = 0;
  private lastEventAt = 0;
  private longestPause = 0;
  /** Measures the speed of the segment's instance; undefined if speeds are not measured. */
  private observer: measuredSpeeds.StreamObserver | undefined;
  /** Whether the time since the last events says something of the instance. */
  private isGapOfInstance = false;
  /** Whether the account of held bytes includes an incomplete event. */
  private isPendingHeld = false;
  private readonly sink: callerSink.CallerSink;

  constructor(
    private readonly context: callContext.CallContext,
    private readonly run: runTable.Run,
    private readonly onDidDeliver: () => void,
  ) {
    this.lastId = context.call.caller.lastEventId;
    this.sink = callerSink.createSink(context, () => this.pendingBytes);
  }

  /** Whether anything was written to the caller. */
  get hasBegun(): boolean {
    return this.isHeadWritten;
  }

  /** Whether the instance's answer is not read because the caller reads too slowly. */
  get isPaused(): boolean {
    return this.sink.isPaused;
  }

  /** Whether the current segment has had a whole event. */
  get hasSegmentEvents(): boolean {
    return this.segmentTimes !== undefined;
  }

  /** Monotonic milliseconds at which the segment's first and latest events arrived; undefined before the first. */
  get eventTimes():
    {readonly first: number; readonly latest: number} | undefined {
    return this.segmentTimes;
  }

  /** Number of events that were delivered before the segment. */
  get earlierEvents(): number {
    return this.deliveredBefore;
  }

  /** Number of bytes received of an event that is not complete. */
  get pendingBytes(): number {
    return this.splitter.pendingBytes;
  }

  /** Id of the last event that the caller has received; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Time from the first event to the last, in milliseconds. */
  get streamMilliseconds(): number {
    return this.lastEventAt - this.firstEventAt;
  }

  /** Discards the incomplete event of the previous segment; the next events come from this instance. */
  startSegment(instance: instanceTable.Instance): void {
    this.observer = this.context.services.speeds.observe(instance, this.run);
    this.isGapOfInstance = false;
    this.isContinuation = this.isHeadWritten && this.lastId !== undefined;
    this.splitter = new eventSplitter.EventSplitter();
    this.updatePending();
    this.segmentTimes = undefined;
    this.deliveredBefore = this.run.eventsDelivered;
  }

  /** Delivers the events that the chunk completes, without those already delivered; false if they do not continue the stream. */
  push(answer: instanceClient.InstanceResponse, chunk: Buffer): boolean {
    const events = this.splitter.push(chunk);
    this.updatePending();
    if (this.splitter.isOversized) {
      this.context.log('event-too-large', {
        instance: this.run.instanceId,
        max_bytes: eventSplitter.MAX_EVENT_BYTES,
      });
      return false;
    }
    if (events === undefined) {
      return true;
    }
    const now = performance.now();
    this.segmentTimes ??= {first: now, latest: now};
    this.segmentTimes.latest = now;
    const skipped = this.countDelivered(events.ids);
    if (skipped === undefined) {
      this.context.log('event-ids-not-contiguous', {
        last: this.lastId,
        received: events.ids[0],
      });
      return false;
    }
    if (skipped < events.ids.length) {
      this.write(answer, events, skipped);
    }
    return true;
  }

  private updatePending(): void {
    const isHeld = this.pendingBytes >= MIN_HELD_BYTES;
    if (isHeld || this.isPendingHeld) {
      this.isPendingHeld = isHeld;
      this.sink.updatePending();
    }
  }

  /** Ends the caller's answer. */
  finish(answer: instanceClient.InstanceResponse): void {
    this.writeHead(answer);
    this.context.finish('served');
    this.sink.end();
  }

  /** Adds the longest pause of the stream to the metrics. */
  observePauses(): void {
    if (this.longestPause > 0) {
      const {metrics} = this.context.services;
      metrics.pauses.observe(this.longestPause / 1000);
    }
  }

  private write(
    answer: instanceClient.InstanceResponse,
    events: eventSplitter.CompleteEvents,
    skipped: number,
  ): void {
    const {run} = this;
    this.writeHead(answer);
    this.recordPause(events.ids.length);
    this.lastId = events.ids[events.ids.length - 1] || this.lastId;
    run.eventsDelivered += events.ids.length - skipped;
    run.hasStarted = true;
    this.onDidDeliver();
    const from = skipped === 0 ? 0 : events.ends[skipped - 1];
    const isOpen = this.sink.write(answer.body, events.bytes.subarray(from));
    this.isGapOfInstance &&= isOpen;
  }

  /** Number of leading events that the caller already has; undefined if the events do not continue those delivered. */
  private countDelivered(ids: readonly string[]): number | undefined {
    let skipped = 0;
    let last = this.lastId;
    for (const id of ids) {
      if (this.isContinuation && !/^\d+$/.test(id)) {
        return undefined;
      }
      if (last !== undefined && id !== '') {
        const step = Number(id) - Number(last);
        if (step <= 0) {
          skipped++;
          continue;
        }
        if (step > 1) {
          return undefined;
        }
      }
      last = id || last;
    }
    return skipped;
  }

  private writeHead(answer: instanceClient.InstanceResponse): void {
    const {response, services, call} = this.context;
    if (this.isHeadWritten) {
      return;
    }
    response.writeHead(answer.status, [...answer.passedHeaders]);
    this.isHeadWritten = true;
    services.metrics.latency.observe(
      {route: call.route.name},
      (performance.now() - call.arrivedAt) / 1000,
    );
  }

  private recordPause(eventCount: number): void {
    const now = performance.now();
    const pause = this.lastEventAt > 0 ? now - this.lastEventAt : 0;
    this.firstEventAt ||= now;
    this.lastEventAt = now;
    this.longestPause = Math.max(this.longestPause, pause);
    if (this.isGapOfInstance) {
      this.observer?.add(pause, eventCount, now);
    }
    this.isGapOfInstance = true;
    const {maxPauseMilliseconds} = this.context.call.route;
    if (maxPauseMilliseconds > 0 && pause > maxPauseMilliseconds) {
      this.context.log('long-pause', {
        pause_ms: Math.round(pause),
        instance: this.run.instanceId,
        events: this.run.eventsDelivered,
      });
    }
  }
}
