/** Orders engines to load what is declared, while this entry holds the lease. */
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as log from '../../base/node/log';
import * as orderSystem from '../../decision/common/order_system';
import * as instanceList from '../../storage/common/instance_list';
import * as lease from '../../storage/common/lease';
import * as weightStore from '../../storage/common/weight_store';
import * as sideCalls from '../../protocol/common/side_calls';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as configurationService from './configuration_service';
import * as membership from './membership';

/** Time between rounds of the holder, in milliseconds. */
const ROUND_MILLISECONDS = 2_000;
/** Time between attempts of all other entries together to take the lease, in milliseconds. */
const DEPLOYMENT_ACQUIRE_MILLISECONDS = 2_000;
const CALL_TIMEOUT_MILLISECONDS = 3_000;

/** What the service is made from. */
export interface OrderServiceParts {
  readonly lease: lease.Lease;
  readonly weights: weightStore.WeightStore;
  readonly configuration: configurationService.ConfigurationService;
  readonly members: membership.Membership;
  readonly token: string;
  readonly traffic: peerTransport.TrafficCounter;
}

/** Gives orders one after the other, checking the lease right before each. */
export class OrderService implements disposable.Disposable {
  private readonly system = new orderSystem.OrderSystem();
  private readonly logger = new log.Logger('orders');
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  private wasHeld = false;

  constructor(private readonly parts: OrderServiceParts) {}

  /** Begins to compete for the lease. */
  start(): void {
    this.schedule();
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  /** Takes or renews the lease, and gives the orders that are due. */
  async round(): Promise<void> {
    const isHeld = await this.parts.lease.acquire();
    if (isHeld !== this.wasHeld) {
      this.wasHeld = isHeld;
      this.system.reset();
      this.logger.info(isHeld ? 'lease taken' : 'lease lost');
    }
    if (!isHeld) {
      return;
    }
    const wanted = this.system.wanted(
      this.parts.configuration.table,
      this.targets,
      performance.now(),
    );
    for (const load of wanted) {
      await this.bringAbout(load).catch(() => undefined);
    }
  }

  private get targets(): orderSystem.OrderTarget[] {
    return this.parts.members.view.instances.filter(
      record =>
        record.role === instanceList.InstanceRole.Side && !record.isLeaving,
    );
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const entries = Math.max(1, this.parts.members.entries.length);
    const interval = this.wasHeld
      ? ROUND_MILLISECONDS
      : DEPLOYMENT_ACQUIRE_MILLISECONDS * entries;
    this.timer = setTimeout(() => {
      void this.round()
        .catch(() => undefined)
        .then(() => this.schedule());
    }, deadline.jittered(interval));
    this.timer.unref?.();
  }

  private async bringAbout(load: orderSystem.WantedLoad): Promise<void> {
    const client = peerTransport.createSideClient({
      address: load.target.address,
      token: this.parts.token,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      traffic: this.parts.traffic,
    });
    const status = await client.status.query();
    if (status.loaded.includes(load.subject)) {
      return this.system.confirm(load, performance.now());
    }
    const grant = await this.parts.weights.reserve(load.model);
    if (grant.isErr()) {
      // The budget of reads is used up; a later round goes on.
      return;
    }
    // The calls above may have taken longer than the lease.
    if (!this.parts.lease.isHeld) {
      return;
    }
    const reply = await client.order.mutate({
      incarnation: status.incarnation,
      fencingNumber: this.parts.lease.fencingNumber,
      action: sideCalls.OrderAction.LoadModel,
      subject: load.subject,
    });
    this.logger.info('order given', {
      instance: load.target.instance,
      subject: load.subject,
      accepted: reply.isAccepted,
    });
    if (reply.isAccepted) {
      this.system.confirm(load, performance.now());
    }
  }
}
