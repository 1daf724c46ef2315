/**
 * Decides how to handle stalled streams. A stream stalls when its connection
 * stops delivering data although both ends are alive, when the instance hangs
 * or disappears without a reset, or when the engine merely paused the run.
 */
import * as instanceClient from './instance_client';

/** Time without events after which a started stream is checked, in milliseconds; several times the longest pause that meets its objective. */
export const STARTED_STALL_MILLISECONDS = 700;
/** Share of the latency objective after which a stream without a first event is checked. */
export const FIRST_EVENT_SHARE = 0.8;
/** Interval of further checks, in milliseconds. */
export const RECHECK_MILLISECONDS = 1_000;
/** Timeout for the report of an engine without which a run that may run once is stopped, in milliseconds; crowded engines take some hundred. */
export const REPORT_TIMEOUT_MILLISECONDS = 1_000;
/** Number of generated but undelivered events from which the connection is considered broken. */
const MIN_UNDELIVERED_EVENTS = 4;

/** State of a stalled stream. */
export interface StalledStream {
  readonly hasStarted: boolean;
  readonly eventsDelivered: number;
  /** Whether the request may be executed again elsewhere, or can be resumed by event id. */
  readonly mayRepeat: boolean;
  /** Whether there is a copy to resume from. */
  readonly hasCopy: boolean;
  /** Instance report read over a separate connection; undefined when none was received. */
  readonly report: instanceClient.InstanceReport | undefined;
}

/** What to do about a stalled stream. */
export enum StallDecision {
  /** The run is alive, or there is no better option. */
  Wait = 'wait',
  /** Close the connection and continue at another instance. */
  FailOver = 'leave',
  /** Stop the run, move its memory to another instance and resume there. */
  Move = 'move',
}

/** Decides what to do about a stalled stream. */
export function decideStall(
  stream: StalledStream,
  attemptId: string,
): StallDecision {
  const {report} = stream;
  if (report === undefined && stream.mayRepeat) {
    return StallDecision.FailOver;
  }
  if (report === undefined) {
    return stream.hasCopy ? StallDecision.Move : StallDecision.Wait;
  }
  const generated = report.eventsByRun.get(attemptId);
  if (generated === undefined) {
    const isLost = stream.mayRepeat && report.queuedRuns === 0;
    return isLost ? StallDecision.FailOver : StallDecision.Wait;
  }
  if (generated < stream.eventsDelivered + MIN_UNDELIVERED_EVENTS) {
    return StallDecision.Wait;
  }
  return stream.mayRepeat ? StallDecision.FailOver : StallDecision.Move;
}
