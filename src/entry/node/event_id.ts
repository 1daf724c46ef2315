/** Identifiers of stream events, from which any entry can locate a running generation. */
import * as neverthrow from 'neverthrow';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as generationMachine from '../../decision/common/generation_machine';

const SEPARATOR = '/';

/** A position in the output of one attempt. */
export interface EventPosition {
  readonly target: generationMachine.AttemptTarget;
  /** Index of the token; for the final event, the number of tokens. */
  readonly index: number;
}

/** Prefix of all event identifiers of an attempt. */
export function eventIdPrefix(target: generationMachine.AttemptTarget): string {
  return [target.instance, target.incarnation, target.attempt, ''].join(
    SEPARATOR,
  );
}

/** Errors: InvalidEventId. */
export function parseEventId(
  text: string,
): neverthrow.Result<EventPosition, failure.Failure> {
  const match =
    /^([a-z0-9-]{1,63})\/([0-9a-f]{12})\/([A-Za-z0-9_-]{12})\/(\d{1,9})$/.exec(
      text,
    );
  if (match === null) {
    const message = 'last-event-id: not an identifier of this deployment';
    return neverthrow.err(
      failure.notRun(resultCode.ResultCode.InvalidEventId, message),
    );
  }
  const target = {instance: match[1], incarnation: match[2], attempt: match[3]};
  return neverthrow.ok({target, index: Number(match[4])});
}
