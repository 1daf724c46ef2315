/** Forwards orders to an engine after checking their fencing numbers, since some engines do not check them. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as log from '../../base/node/log';
import * as fencingGate from '../../decision/common/fencing_gate';
import * as engineClient from '../../endpoint/common/engine_client';
import * as lease from '../../storage/common/lease';
import * as objectStore from '../../storage/common/object_store';
import * as sideCalls from '../../protocol/common/side_calls';

/** Rejects orders with a fencing number below the highest one seen by this instance. */
export class OrderGate {
  private readonly gate = new fencingGate.FencingGate();
  private readonly logger = new log.Logger('orders');
  private queue: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly engine: engineClient.EngineClient,
    private readonly store: objectStore.ObjectStore,
  ) {}

  /** Forwards orders one at a time, so that they reach the engine in the order of admission. */
  order(input: sideCalls.EngineOrder): Promise<sideCalls.CallReply> {
    const reply = this.queue.then(() => this.forward(input));
    this.queue = reply.catch(() => undefined);
    return reply;
  }

  private async forward(
    input: sideCalls.EngineOrder,
  ): Promise<sideCalls.CallReply> {
    const isNumberKnown = await this.loadFencingNumber();
    if (!isNumberKnown) {
      return refuse(
        resultCode.ResultCode.StoreUnavailable,
        'the current lease cannot be read yet',
      );
    }
    if (!this.gate.admit(input.fencingNumber)) {
      return refuse(
        resultCode.ResultCode.StaleFencingNumber,
        `fencing number ${input.fencingNumber} was superseded`,
      );
    }
    this.logger.info('order', {
      action: input.action,
      subject: input.subject,
      fencing: input.fencingNumber,
    });
    const wasAccepted = await this.engine.order(input).catch(() => undefined);
    if (wasAccepted === undefined) {
      const message = 'the engine did not respond to the order';
      return {
        isAccepted: false,
        failure: failure.unknownOutcome(
          resultCode.ResultCode.OutcomeUnknown,
          message,
        ),
      };
    }
    return wasAccepted
      ? {isAccepted: true}
      : refuse(
          resultCode.ResultCode.StaleFencingNumber,
          'the engine refused the order',
        );
  }

  /** Reads the current fencing number from the lease after a restart; false when it cannot be read. */
  private async loadFencingNumber(): Promise<boolean> {
    if (this.gate.isInitialized) {
      return true;
    }
    const number = await lease.readFencingNumber(
      this.store,
      lease.ORDERS_LEASE_KEY,
    );
    if (number.isErr()) {
      return false;
    }
    this.gate.observe(number.value);
    return true;
  }
}

function refuse(
  code: resultCode.ResultCode,
  message: string,
): sideCalls.CallReply {
  return {isAccepted: false, failure: failure.notRun(code, message)};
}
