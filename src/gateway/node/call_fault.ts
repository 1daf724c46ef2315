/** Ends calls whose handling throws an error or gets stuck, so that none is left without an answer. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as instanceClient from '../common/instance_client';
import * as callContext from './call_context';
import * as callerAnswer from './caller_answer';

/** Time after its deadline at which a call that has not ended is taken for stuck, in milliseconds. */
const OVERDUE_MILLISECONDS = 250;
const MAX_TIMER_MILLISECONDS = 2 ** 31 - 1;
/** Status that promises nothing, since the request may have run. */
const FAULT_STATUS = 502;

/** Ends a call after a fault of this process: with a failure if nothing of its answer was written. */
export function endCall(
  context: callContext.CallContext,
  error: unknown,
): void {
  const stack = error instanceof Error ? error.stack : error;
  const fields = {error: String(stack)};
  context.log('handler-failed', fields, undefined, true);
  const {Internal} = resultCode.ResultCode;
  context.finish(resultCode.ResultCode[Internal]);
  context.cancelSends();
  if (!context.response.writableEnded) {
    const message = 'an unexpected fault while the request was handled';
    const cause = failure.unknownOutcome(Internal, message);
    callerAnswer.answerFailure(context.response, cause, FAULT_STATUS);
  }
}

/** Handles a call; ends it if the handler throws, or does not end it by its deadline. */
export async function guard(
  context: callContext.CallContext,
  handle: () => Promise<void>,
): Promise<void> {
  const endOverdue = () => {
    // An answer that has begun is delivered at the pace of its caller.
    if (!context.isOver && !context.response.headersSent) {
      endCall(context, new Error('not answered by the deadline'));
    }
  };
  const overdue = setTimeout(
    endOverdue,
    Math.min(
      MAX_TIMER_MILLISECONDS,
      Math.max(0, context.remainingMilliseconds) + OVERDUE_MILLISECONDS,
    ),
  );
  try {
    await handle();
  } catch (error) {
    endCall(context, error);
  } finally {
    clearTimeout(overdue);
  }
}

/** Listens to the body of an answer to the call; if the listener throws, ends the call, and then calls `onDidEnd`. */
export function listen(
  context: callContext.CallContext,
  body: instanceClient.ResponseBody,
  listener: instanceClient.BodyListener,
  onDidEnd: () => void,
): void {
  const end = (error: unknown) => {
    endCall(context, error);
    onDidEnd();
  };
  body.listen({
    onData(chunk) {
      try {
        listener.onData(chunk);
      } catch (error) {
        end(error);
      }
    },
    onDidEnd() {
      try {
        listener.onDidEnd();
      } catch (error) {
        end(error);
      }
    },
    onDidFail(reason) {
      try {
        listener.onDidFail(reason);
      } catch (error) {
        end(error);
      }
    },
  });
}
