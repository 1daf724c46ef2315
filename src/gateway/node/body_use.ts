/** Keeps the body of a call for as long as something may read it. */
import * as bodyStore from '../../base/node/body_store';
import * as instanceClient from '../common/instance_client';

/** Who may still read the body of one call: its caller's response, and exchanges with instances. */
export class BodyUse {
  private openExchanges = 0;
  private isCallOver = false;
  private isReleased = false;

  constructor(private readonly body: bodyStore.HeldBody) {}

  /** The body, to be passed to an exchange. Throws if it has been released. */
  get chunks(): readonly Buffer[] {
    if (this.isReleased) {
      throw new Error('the body of a call that has ended was released');
    }
    return this.body.chunks;
  }

  /** Keeps the body until the exchange is closed. */
  keepFor(exchange: instanceClient.Exchange): void {
    this.openExchanges++;
    void exchange.closed.then(() => {
      this.openExchanges--;
      this.releaseIfUnused();
    });
  }

  /** Records that the call will not be sent again. */
  endCall(): void {
    this.isCallOver = true;
    this.releaseIfUnused();
  }

  private releaseIfUnused(): void {
    if (this.isCallOver && this.openExchanges === 0 && !this.isReleased) {
      this.isReleased = true;
      this.body.release();
    }
  }
}
