/** What the end of a stream says of the instance that it came from. */
import * as instanceClient from './instance_client';
import * as instanceTable from './instance_table';

const {SendError} = instanceClient;

/** How a stream from one instance ended. */
export interface LegOutcome {
  readonly isWhole: boolean;
  /** Why no answer came; undefined when one did. */
  readonly error: instanceClient.SendError | undefined;
  /** Whether the caller left, which ended the stream. */
  readonly isCallerGone: boolean;
}

/** Holds the end against the instance, unless the caller, this process or a planned end caused it. */
export function learnFromLeg(
  row: instanceTable.Instance,
  {isWhole, error, isCallerGone}: LegOutcome,
  now: number,
): void {
  if (isWhole) {
    return instanceTable.noteOutcome(row, false, now);
  }
  if (error === SendError.NeverSent) {
    return instanceTable.noteUnreachable(row, now);
  }
  const isOwnDoing = isCallerGone || error === SendError.Withdrawn;
  if (!isOwnDoing && row.drainingAt === undefined) {
    instanceTable.noteOutcome(row, true, now);
  }
}
