/** What the end of a stream says of the instance that it came from. */
import * as instanceClient from './instance_client';
import * as instanceTable from './instance_table';

const {SendError} = instanceClient;

/** How a stream from one instance ended. */
export interface StreamOutcome {
  readonly isWhole: boolean;
  /** Why no answer came; undefined when one did. */
  readonly error: instanceClient.SendError | undefined;
  /** Whether the caller left, which ended the stream. */
  readonly isCallerGone: boolean;
}

/** Holds the end against the instance, unless the caller, this process or a planned end caused it. */
export function recordStreamOutcome(
  row: instanceTable.Instance,
  {isWhole, error, isCallerGone}: StreamOutcome,
  now: number,
): void {
  if (isWhole) {
    return instanceTable.recordOutcome(row, false, now);
  }
  if (error === SendError.NeverSent) {
    return instanceTable.recordUnreachable(row, now);
  }
  const isCausedHere = isCallerGone || error === SendError.Withdrawn;
  if (!isCausedHere && row.drainingAt === undefined) {
    instanceTable.recordOutcome(row, true, now);
  }
}
