/** Updates the statistics of an instance by how a stream from it ended. */
import * as instanceClient from './instance_client';
import * as instanceTable from './instance_table';

const {SendError} = instanceClient;

/** How a stream from one instance ended. */
export interface StreamOutcome {
  readonly isWhole: boolean;
  /** Whether the instance answered that it did not run the request; absent if it did not. */
  readonly isRejected?: boolean;
  /** Reason for which no response was received; undefined when one was. */
  readonly error: instanceClient.SendError | undefined;
  /** Whether the stream ended because the caller disconnected. */
  readonly isCallerGone: boolean;
}

/** Records a failure of the instance, unless the caller, this process or a planned shutdown ended the stream. */
export function recordStreamOutcome(
  instance: instanceTable.Instance,
  {isWhole, isRejected, error, isCallerGone}: StreamOutcome,
  now: number,
): void {
  if (isWhole) {
    return instanceTable.recordOutcome(instance, false, now);
  }
  if (error === SendError.NeverSent) {
    return instanceTable.recordUnreachable(instance, now);
  }
  const isCausedHere = isCallerGone || error === SendError.Withdrawn;
  if (isCausedHere || instance.drainingAt !== undefined) {
    return;
  }
  if (isRejected) {
    return instanceTable.recordRejection(instance, now);
  }
  instanceTable.recordOutcome(instance, true, now);
}
