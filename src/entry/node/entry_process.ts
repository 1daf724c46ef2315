/** The entry process: checks, limits, places and retries the requests of callers, and delivers the results. */
import * as disposable from '../../base/common/disposable';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as limitReporter from '../../base/node/limit_reporter';
import * as log from '../../base/node/log';
import * as metrics from '../../base/node/metrics';
import * as processSettings from '../../base/node/process_settings';
import * as tracing from '../../base/node/tracing';
import * as routeSystem from '../../decision/common/route_system';
import * as instanceList from '../../storage/common/instance_list';
import * as lease from '../../storage/common/lease';
import * as objectStore from '../../storage/common/object_store';
import * as weightStore from '../../storage/common/weight_store';
import * as configurationMessages from '../../protocol/common/configuration_messages';
import * as peerCalls from '../../protocol/common/peer_calls';
import * as entryRouter from '../../protocol/node/entry_router';
import * as shutdownState from '../../protocol/node/shutdown_state';
import * as peerTransport from '../../protocol/node/peer_transport';
import * as trafficMetrics from '../../protocol/node/traffic_metrics';
import * as callerAuthenticator from './caller_authenticator';
import * as claimService from './claim_service';
import * as idempotentCallService from './idempotent_call_service';
import * as completionHandler from './completion_handler';
import * as configurationService from './configuration_service';
import * as entryMetrics from './entry_metrics';
import * as entrySettings from './entry_settings';
import * as generationService from './generation_service';
import * as gossipService from './gossip_service';
import * as linkManager from './link_manager';
import * as membership from './membership';
import * as operatorService from './operator_service';
import * as peerClaimForwarder from './peer_claim_forwarder';
import * as orderService from './order_service';
import * as poisonService from './poison_service';
import * as serviceDispatcher from './service_dispatcher';
import * as serviceHandler from './service_handler';
import * as statusService from './status_service';

/** Time without an answer from the store or any peer after which an entry that has peers refuses new work, in milliseconds. */
const ISOLATION_TIMEOUT_MILLISECONDS = 6_000;
/** Maximum time that an entry waits for its first links, in milliseconds. */
const INITIAL_LINKS_TIMEOUT_MILLISECONDS = 5_000;
/** Term of the lease under which one entry orders engines to load models, in milliseconds. */
const ORDERS_LEASE_MILLISECONDS = 15_000;
const DRAIN_POLL_MILLISECONDS = 200;

/** Settings and services of an entry. */
export interface EntryProcessOptions {
  readonly instance: processSettings.InstanceSettings;
  readonly callers: entrySettings.CallerSettings;
  readonly links: entrySettings.LinkSettings;
  readonly limits: entrySettings.LimitSettings;
  readonly clusterToken: string;
  readonly operatorToken: string;
  readonly registry: metrics.MetricsRegistry;
  readonly metrics: entryMetrics.EntryMetrics;
  readonly store: objectStore.ObjectStore;
  readonly instances: instanceList.InstanceList;
  readonly weights: weightStore.WeightStore;
  readonly traceCollector: string;
}

/** A process behind the platform's load balancer. It holds no state that cannot be rebuilt. */
export class EntryProcess
  extends entryRouter.EntryService
  implements disposable.Disposable
{
  readonly configuration: configurationService.ConfigurationService;
  private readonly disposables = new disposable.DisposableStore();
  private readonly server: httpServer.HttpServer;
  private readonly limits: limitReporter.LimitReporter;
  private readonly tracer: tracing.Tracer;
  private readonly members: membership.Membership;
  private readonly links: linkManager.LinkManager;
  private readonly poison = new poisonService.PoisonService();
  private readonly generations: generationService.GenerationService;
  private readonly gossiper: gossipService.GossipService;
  private readonly claims: claimService.ClaimService;
  private readonly dispatcher: serviceDispatcher.ServiceDispatcher;
  private readonly orders: orderService.OrderService;
  private readonly statuses: statusService.StatusService;
  private readonly traffic: trafficMetrics.TrafficMetrics;
  private readonly leaving = new shutdownState.ShutdownState();
  private readonly logger = new log.Logger('entry');
  private address = '';
  private openRequests = 0;
  private readonly startedAt = performance.now();

  constructor(private readonly options: EntryProcessOptions) {
    super();
    const {instance, clusterToken: token} = options;
    this.limits = this.disposables.add(
      new limitReporter.LimitReporter(
        limit => options.metrics.clientLimits.inc({limit}),
        (limit, occurrences) =>
          this.logger.info(
            'client-limit',
            limitReporter.describeOccurrences(limit, occurrences),
          ),
      ),
    );
    this.server = new httpServer.HttpServer({
      memoryMegabytes: options.limits.memory_megabytes,
      maxBodyBytes: options.callers.max_body_bytes,
      limits: this.limits,
    });
    const entryAddress = () => this.address;
    const entryCount = () => this.members.entries.length;
    this.tracer = new tracing.Tracer(instance.name);
    this.traffic = new trafficMetrics.TrafficMetrics(options.registry);
    this.members = this.disposables.add(
      new membership.Membership(options.instances),
    );
    this.configuration = this.disposables.add(
      new configurationService.ConfigurationService(options.store, entryCount),
    );
    const revision = () => this.configuration.table.revision;
    this.links = this.disposables.add(
      new linkManager.LinkManager(
        {
          entry: instance.name,
          entryAddress,
          dataCentre: instance.data_centre,
          token,
          linksPerEndpoint: options.links.per_endpoint,
          revision,
        },
        this.members,
        this.traffic,
        options.metrics,
      ),
    );
    this.generations = this.disposables.add(
      new generationService.GenerationService(
        this.links,
        this.poison,
        options.metrics,
        this.tracer,
      ),
    );
    this.gossiper = this.disposables.add(
      new gossipService.GossipService(
        {instance: instance.name, address: entryAddress, token},
        this.configuration,
        this.members,
        this.poison,
        this.traffic,
      ),
    );
    this.claims = this.disposables.add(
      new claimService.ClaimService(
        options.store,
        entryCount,
        new peerClaimForwarder.PeerClaimForwarder(
          instance.name,
          this.members,
          this.gossiper,
        ),
      ),
    );
    this.dispatcher = new serviceDispatcher.ServiceDispatcher(
      this.links,
      token,
      this.traffic,
      this.tracer,
    );
    this.orders = this.disposables.add(
      new orderService.OrderService({
        lease: new lease.Lease(
          options.store,
          lease.ORDERS_LEASE_KEY,
          `${instance.name}/${Date.now()}`,
          ORDERS_LEASE_MILLISECONDS,
        ),
        weights: options.weights,
        configuration: this.configuration,
        members: this.members,
        token,
        traffic: this.traffic,
      }),
    );
    this.statuses = new statusService.StatusService({
      instance: instance.name,
      token,
      configuration: this.configuration,
      members: this.members,
      links: this.links,
      gossip: this.gossiper,
      traffic: this.traffic,
      tracer: this.tracer,
      ownStatus: () => this.status(),
    });
    this.disposables.add(this.server);
    this.configuration.table.onDidAdvance.subscribe(value => {
      options.metrics.revision.set(value);
      this.links.renewAll();
    });
    this.mountInternalHandlers();
    this.mountCallerHandlers();
  }

  /** Starts serving, then fetches the configuration from the store and peers. Returns the listen address. */
  async start(): Promise<string> {
    if (this.options.traceCollector !== '') {
      await this.tracer.exportTo(this.options.traceCollector);
    }
    this.address = await this.server.listen(this.options.instance.listen);
    this.logger.info('serving', {address: this.address});
    await this.members.start();
    await Promise.all([this.configuration.start(), this.gossiper.start()]);
    this.orders.start();
    return this.address;
  }

  /** Refuses new work, waits until every caller has its answer, and disposes the process. */
  async leave(): Promise<void> {
    this.leaving.begin();
    this.logger.info('leaving', {running: this.openRequests});
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        if (this.openRequests === 0) {
          clearInterval(timer);
          resolve();
        }
      }, DRAIN_POLL_MILLISECONDS);
    });
    this.dispose();
    this.logger.info('left');
  }

  dispose(): void {
    this.disposables.dispose();
  }

  gossip(input: peerCalls.Gossip): peerCalls.GossipReply {
    return this.gossiper.handleGossip(input);
  }

  sync(
    input: configurationMessages.SyncRequest,
  ): configurationMessages.SyncReply {
    return this.configuration.table.changesSince(
      input.revision,
      input.withoutCustomers,
    );
  }

  push(input: peerCalls.Push): void {
    this.configuration.applySync(input.sync, input.fromRevision);
  }

  list(): peerCalls.InstanceListSnapshot {
    return this.members.view as peerCalls.InstanceListSnapshot;
  }

  async runClaim(
    input: entryRouter.RunClaim,
  ): Promise<entryRouter.RunClaimReply> {
    const {page, operation, isFresh} = input;
    const answer = await this.claims.runLocally(page, operation, isFresh);
    return answer.match<entryRouter.RunClaimReply>(
      result => ({result}),
      error => ({error}),
    );
  }

  status(): peerCalls.StatusReport {
    return {
      instance: this.options.instance.name,
      revision: this.configuration.table.revision,
      running: this.openRequests,
      waiting: 0,
      isLeaving: this.leaving.isLeaving,
      incarnation: '',
      loaded: [],
    };
  }

  spans(traceId: string): readonly peerCalls.SpanReport[] {
    return this.tracer.spansOf(traceId);
  }

  /** Returns why new work is refused, or undefined when it is accepted. */
  private checkReadiness(): failure.Failure | undefined {
    const refuse = (message: string) =>
      failure.notRun(resultCode.ResultCode.NotReady, message, 1);
    if (this.leaving.isLeaving) {
      return refuse('this entry is leaving');
    }
    if (this.configuration.table.revision === 0) {
      return refuse('this entry has no configuration yet');
    }
    const isStarting =
      performance.now() - this.startedAt < INITIAL_LINKS_TIMEOUT_MILLISECONDS;
    if (isStarting && !this.links.hasTriedInitialLinks) {
      return refuse('this entry is opening its links');
    }
    const lastContactAt = Math.max(
      this.configuration.storeAnsweredAt,
      this.gossiper.lastContactAt,
    );
    const isIsolated =
      this.gossiper.peers.length > 0 &&
      performance.now() - lastContactAt > ISOLATION_TIMEOUT_MILLISECONDS;
    return isIsolated
      ? refuse('this entry reaches neither the object API nor other entries')
      : undefined;
  }

  private mountInternalHandlers(): void {
    peerTransport.mountRouter(
      this.server,
      this.options.clusterToken,
      entryRouter.createEntryRouter(this),
    );
    this.server.mount('/healthz', (_, response) =>
      httpServer.sendJson(response, 200, {}),
    );
    this.server.mount('/readyz', (_, response) => {
      const cause = this.checkReadiness();
      const body = {ready: cause === undefined, reason: cause?.message};
      httpServer.sendJson(response, cause === undefined ? 200 : 503, body);
    });
    this.server.mount('/metrics', async (_, response) => {
      const text = await this.options.registry.render();
      response
        .writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'})
        .end(text);
    });
    this.server.mount(
      operatorService.OPERATOR_PATH,
      operatorService.createOperatorHandler(
        this.configuration,
        this.statuses,
        this.options.operatorToken,
      ),
    );
  }

  private mountCallerHandlers(): void {
    const authenticator = new callerAuthenticator.CallerAuthenticator(
      this.configuration.table,
      () => this.checkReadiness(),
    );
    const routes = new routeSystem.RouteSystem(this.configuration.table);
    const completions = new completionHandler.CompletionHandler({
      authenticator,
      routes,
      generations: this.generations,
      poison: this.poison,
      metrics: this.options.metrics,
      tracer: this.tracer,
      settings: this.options.callers,
      entryCount: () => this.members.entries.length,
      bodies: this.server.bodies,
    });
    const services = new serviceHandler.ServiceHandler({
      authenticator,
      routes,
      dispatcher: this.dispatcher,
      idempotentCalls: new idempotentCallService.IdempotentCallService(
        this.claims,
        this.dispatcher,
      ),
      metrics: this.options.metrics,
      tracer: this.tracer,
      settings: this.options.callers,
      bodies: this.server.bodies,
    });
    this.mountCounted('/v1/completions', (request, response) =>
      completions.handle(request, response),
    );
    this.mountCounted('/services/', (request, response) =>
      services.handle(request, response),
    );
  }

  /** Counts the open requests of a handler, so that leave() can wait for them. */
  private mountCounted(
    prefix: string,
    handler: httpServer.RequestHandler,
  ): void {
    this.server.mount(prefix, (request, response) => {
      this.openRequests++;
      this.options.metrics.running.set(this.openRequests);
      response.once('close', () => {
        this.openRequests--;
        this.options.metrics.running.set(this.openRequests);
      });
      return handler(request, response);
    });
  }
}
