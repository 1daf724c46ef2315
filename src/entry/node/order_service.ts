/** Orders engines to load the declared models, while this entry holds the lease. */
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

/** Time between rounds of the lease holder, in milliseconds. */
const ROUND_MILLISECONDS = 2_000;
/** Average time between attempts to acquire the lease across all other entries, in milliseconds. */
const DEPLOYMENT_ACQUIRE_MILLISECONDS = 2_000;
const CALL_TIMEOUT_MILLISECONDS = 3_000;

/** Services that the order service uses. */
export interface OrderServiceDependencies {
  readonly lease: lease.Lease;
  readonly weights: weightStore.WeightStore;
  readonly configuration: configurationService.ConfigurationService;
  readonly members: membership.Membership;
  readonly token: string;
  readonly traffic: peerTransport.TrafficCounter;
}

/** Sends orders sequentially, and checks the lease right before each. */
export class OrderService implements disposable.Disposable {
  private readonly system = new orderSystem.OrderSystem();
  private readonly logger = new log.Logger('orders');
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;
  private wasHeld = false;

  constructor(private readonly dependencies: OrderServiceDependencies) {}

  /** Starts competing for the lease. */
  start(): void {
    this.schedule();
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  /** Acquires or renews the lease, and sends the orders that are due. */
  async runRound(): Promise<void> {
    const isHeld = await this.dependencies.lease.acquire();
    if (isHeld !== this.wasHeld) {
      this.wasHeld = isHeld;
      this.system.reset();
      this.logger.info(isHeld ? 'lease taken' : 'lease lost');
    }
    if (!isHeld) {
      return;
    }
    const wanted = this.system.findMissing(
      this.dependencies.configuration.table,
      this.targets,
      performance.now(),
    );
    for (const load of wanted) {
      await this.orderLoad(load).catch(() => undefined);
    }
  }

  private get targets(): orderSystem.OrderTarget[] {
    return this.dependencies.members.view.instances.filter(
      record =>
        record.role === instanceList.InstanceRole.Side && !record.isLeaving,
    );
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const entries = Math.max(1, this.dependencies.members.entries.length);
    const interval = this.wasHeld
      ? ROUND_MILLISECONDS
      : DEPLOYMENT_ACQUIRE_MILLISECONDS * entries;
    this.timer = setTimeout(() => {
      void this.runRound()
        .catch(() => undefined)
        .then(() => this.schedule());
    }, deadline.jittered(interval));
    this.timer.unref?.();
  }

  private async orderLoad(load: orderSystem.RequiredLoad): Promise<void> {
    const client = peerTransport.createSideClient({
      address: load.target.address,
      token: this.dependencies.token,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      traffic: this.dependencies.traffic,
    });
    const status = await client.status.query();
    if (status.loaded.includes(load.subject)) {
      return this.system.confirm(load, performance.now());
    }
    const grant = await this.dependencies.weights.reserve(load.model);
    if (grant.isErr()) {
      // The budget of weight reads is used up; a later round tries again.
      return;
    }
    // The calls above may have taken longer than the lease.
    if (!this.dependencies.lease.isHeld) {
      return;
    }
    const reply = await client.order.mutate({
      incarnation: status.incarnation,
      fencingNumber: this.dependencies.lease.fencingNumber,
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
