/**
 * Decides about streams that have gone quiet. Answers connections that carry
 * nothing any more though both ends live, instances that hang or have vanished
 * without a reset, and engines that merely paused the run.
 */
import * as instanceClient from './instance_client';

/** Time without events after which a started stream is looked into, in milliseconds; several times any pause that is on time. */
export const STARTED_STALL_MILLISECONDS = 700;
/** Part of the objective after which a stream without first event is looked into. */
export const FIRST_EVENT_SHARE = 0.8;
/** Time between further looks, in milliseconds. */
export const RECHECK_MILLISECONDS = 1_000;
/** Events that the instance made and that did not arrive, from which on the connection counts as silent. */
const MIN_UNDELIVERED_EVENTS = 4;

/** What is known of a quiet stream. */
export interface StalledStream {
  readonly hasStarted: boolean;
  readonly eventsDelivered: number;
  /** Whether the request may run anew elsewhere, or goes on by event id. */
  readonly mayRepeat: boolean;
  /** Whether there is a copy to go on from. */
  readonly hasCopy: boolean;
  /** Report over a connection of its own; undefined when none came. */
  readonly report: instanceClient.InstanceReport | undefined;
}

/** What to do about a quiet stream. */
export enum StallDecision {
  /** The run is alive, or nothing better is at hand. */
  Wait = 'wait',
  /** Close the connection and go on elsewhere. */
  FailOver = 'leave',
  /** Stop the run, take its memory to another instance and go on there. */
  Move = 'move',
}

/** Decides what to do about a stream without events. */
export function decideStall(
  stream: StalledStream,
  attemptId: string,
): StallDecision {
  const {report} = stream;
  const canGoOn = stream.mayRepeat || stream.hasCopy;
  if (report === undefined) {
    return canGoOn ? StallDecision.FailOver : StallDecision.Wait;
  }
  const made = report.eventsByRun.get(attemptId);
  if (made === undefined) {
    const isLost = stream.mayRepeat && report.queuedRuns === 0;
    return isLost ? StallDecision.FailOver : StallDecision.Wait;
  }
  if (made < stream.eventsDelivered + MIN_UNDELIVERED_EVENTS) {
    return StallDecision.Wait;
  }
  return stream.mayRepeat ? StallDecision.FailOver : StallDecision.Move;
}
