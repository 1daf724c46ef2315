/** Passes orders to an engine, checking fencing numbers because some engines do not. */
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as log from '../../base/node/log';
import * as fencingGate from '../../decision/common/fencing_gate';
import * as engineClient from '../../endpoint/common/engine_client';
import * as lease from '../../storage/common/lease';
import * as objectStore from '../../storage/common/object_store';
import * as sideCalls from '../../protocol/common/side_calls';

/** Enforces the highest fencing number for the engine of one instance. */
export class OrderGate {
  private readonly gate = new fencingGate.FencingGate();
  private readonly logger = new log.Logger('orders');
  private queue: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly engine: engineClient.EngineClient,
    private readonly store: objectStore.ObjectStore,
  ) {}

  /** Passes orders one after the other, so that the numbers reach the engine in the order of admission. */
  order(input: sideCalls.EngineOrder): Promise<sideCalls.CallReply> {
    const reply = this.queue.then(() => this.pass(input));
    this.queue = reply.catch(() => undefined);
    return reply;
  }

  private async pass(
    input: sideCalls.EngineOrder,
  ): Promise<sideCalls.CallReply> {
    const isPrimed = await this.prime();
    if (!isPrimed) {
      return refuse(
        resultCode.ResultCode.StoreUnavailable,
        'the lease in force cannot be read yet',
      );
    }
    if (!this.gate.admit(input.fencingNumber)) {
      return refuse(
        resultCode.ResultCode.StaleFencingNumber,
        `fencing number ${input.fencingNumber} was superseded`,
      );
    }
    this.logger.change('order', {
      action: input.action,
      subject: input.subject,
      fencing: input.fencingNumber,
    });
    const wasObeyed = await this.engine.order(input).catch(() => undefined);
    if (wasObeyed === undefined) {
      const message = 'the engine did not answer the order';
      return {
        isAccepted: false,
        failure: failure.unknownOutcome(
          resultCode.ResultCode.OutcomeUnknown,
          message,
        ),
      };
    }
    return wasObeyed
      ? {isAccepted: true}
      : refuse(
          resultCode.ResultCode.StaleFencingNumber,
          'the engine refused it',
        );
  }

  /** After a restart the number in force is read from the lease before any order passes. */
  private async prime(): Promise<boolean> {
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
