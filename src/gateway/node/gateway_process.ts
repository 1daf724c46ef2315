/** The gateway process: serves callers, follows the platform's state, and lets running requests finish within the grace period when it shuts down. */
import * as deadline from '../../base/common/deadline';
import * as disposable from '../../base/common/disposable';
import * as evacuationRule from '../common/availability/evacuation_rule';
import * as warmUps from '../common/limits/warm_ups';
import * as machineShares from '../common/machine_shares';
import * as promptPartBlame from '../common/prompt_part_blame';
import * as promptPartTable from '../common/prompt_part_table';
import * as instanceSpeeds from '../common/speeds/instance_speeds';
import * as suspensionDetector from '../common/suspension_detector';
import * as callerServer from './caller_server';
import * as evacuationFollower from './evacuation_follower';
import * as fleetExchange from './fleet/fleet_exchange';
import * as gatewayAssembly from './gateway_assembly';
import * as gatewayPolicies from './gateway_policies';
import * as gatewayServices from './gateway_services';
import * as gatewaySettings from './gateway_settings';
import * as limitLog from './limits/limit_log';
import * as memoryWatch from './memory_watch';
import * as observabilityServer from './observability_server';
import * as processHeap from './process_heap';
import * as requestHandler from './request_handler';
import * as retryLog from './retry_log';
import * as stateFollower from './state_follower';

/** Time after the stop signal during which the load balancer still sends new connections, in milliseconds. */
const BALANCER_DELAY_MILLISECONDS = 3_500;
/** Time before the end of the grace period at which the process exits even if requests are still running, in milliseconds. */
const GRACE_MARGIN_MILLISECONDS = 300;
const SHUTDOWN_CHECK_MILLISECONDS = 50;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Interval of checks whether the process was suspended, in milliseconds. */
const SUSPENSION_CHECK_MILLISECONDS = 200;

/** One gateway process. */
export class GatewayProcess implements disposable.Disposable {
  private readonly disposables = new disposable.DisposableStore();
  private readonly services: gatewayServices.GatewayServices;
  private readonly handler: requestHandler.RequestHandler;
  private readonly server: callerServer.CallerServer;
  private readonly exchange: fleetExchange.FleetExchange;
  private readonly evacuatedDataCentres: evacuationFollower.EvacuationFollower;
  /** Undefined if evacuations are not followed. */
  private readonly evacuationRule: evacuationRule.EvacuationRule | undefined;
  private readonly shares: machineShares.MachineShares;
  private isShuttingDown = false;
  private readonly suspensions = new suspensionDetector.SuspensionDetector(
    performance.now(),
    Date.now(),
  );

  constructor(private readonly options: gatewayAssembly.GatewayOptions) {
    const {log} = options;
    this.shares = gatewayPolicies.divideMachine(options.settings);
    const assembly = gatewayAssembly.assemble(options);
    this.services = assembly.services;
    this.exchange = assembly.exchange;
    this.evacuatedDataCentres = assembly.evacuatedDataCentres;
    this.evacuationRule = assembly.evacuationRule;
    assembly.disposables.forEach(each => this.disposables.add(each));
    this.handler = new requestHandler.RequestHandler(
      this.services,
      options.decoder,
    );
    this.server = new callerServer.CallerServer(
      (request, response) => this.handler.handle(request, response),
      this.shares.callerServer,
      options.limits,
      log,
    );
  }

  /** Whether the load balancer should send connections to this process. */
  get isReady(): boolean {
    const {follower} = this.services;
    return (
      !this.isShuttingDown &&
      follower.routes !== undefined &&
      follower.instances.size > 0 &&
      this.evacuationRule?.isPending(performance.now()) !== true
    );
  }

  /** Configuration and instances that the process follows. */
  get state(): stateFollower.StateFollower {
    return this.services.follower;
  }

  /** Data centres that operators evacuate. */
  get evacuations(): evacuationFollower.EvacuationFollower {
    return this.evacuatedDataCentres;
  }

  /** Cold instances that the process knows of. */
  get coldInstances(): warmUps.WarmUps {
    return this.services.coldInstances;
  }

  /** Parts of prompts with crashes that the process knows of. */
  get promptParts(): promptPartTable.PromptPartTable {
    return this.services.promptParts;
  }

  /** Speeds of instances that the process knows of. */
  get instanceSpeeds(): instanceSpeeds.InstanceSpeeds {
    return this.services.speeds.speeds;
  }

  /** Number of other gateways that this one considers running. */
  get peerCount(): number {
    return this.services.members.live().length;
  }

  /** Number of generations that wait for an instance. */
  get waitingCount(): number {
    return this.services.scheduler.waitingCount;
  }

  /** Number of bytes held for callers who read slowly. */
  get heldBytes(): number {
    return this.services.buffers?.totalBytes ?? 0;
  }

  /** Port that callers connect to. */
  get port(): number {
    return this.server.port;
  }

  /** Binds all addresses and starts to follow the platform's state. Rejects if the callers' address is in use. */
  async start(): Promise<void> {
    const {settings, log, registry} = this.options;
    const {follower, scheduler, evacuations, promptParts, permits, origins} =
      this.services;
    const observability = new observabilityServer.ObservabilityServer(
      () => this.isReady,
      registry,
      {bounds: this.shares.observabilityServer, limits: this.options.limits},
      log,
    );
    const separator = settings.listen.readiness.lastIndexOf(':');
    observability.listen(
      settings.listen.readiness.slice(0, separator),
      Number(settings.listen.readiness.slice(separator + 1)),
    );
    if (settings.listen.metrics_port > 0) {
      observability.listen(settings.instance.ip, settings.listen.metrics_port);
    }
    follower.onDidChangeConfiguration.subscribe(index =>
      this.server.setLimits(index.configuration.limits),
    );
    follower.onDidChangeInstances.subscribe(() => scheduler.processQueue());
    permits.onDidSettle.subscribe(() => scheduler.processQueue());
    const {dataCentres} = this.evacuatedDataCentres;
    dataCentres.onDidChange.subscribe(() => scheduler.processQueue());
    const blameEvents = [
      ['prompt-part-blocked', promptParts.onDidBlock],
      ['prompt-part-suspected', promptParts.onDidSuspect],
    ] as const;
    blameEvents.forEach(([event, subject]) =>
      subject.subscribe(({id, together, count, crashes}) =>
        log.write(
          event,
          {part: id, together, count, crashes: crashes.map(describeCrash)},
          true,
        ),
      ),
    );
    this.disposables.add(
      new limitLog.LimitLog(
        this.services.limits,
        this.services.limitUsage,
        log,
      ),
    );
    this.disposables.add(new retryLog.RetryLog(this.services));
    this.disposables.add(
      new memoryWatch.MemoryWatch(
        this.services,
        (settings.limits?.memory_megabytes ?? 0) * BYTES_PER_MEGABYTE,
        this.options.heap ?? new processHeap.ProcessHeap(),
      ),
    );
    promptParts.onDidUnblock.subscribe(part =>
      log.write('prompt-part-unblocked', {part}, true),
    );
    [
      this.options.limits,
      observability,
      follower,
      this.evacuatedDataCentres,
      scheduler,
      evacuations,
      permits,
      origins,
      this.server,
      this.exchange,
    ].forEach(each => this.disposables.add(each));
    await this.server.listen(settings.listen.callers);
    this.exchange.start();
    this.evacuatedDataCentres.start();
    follower.start();
    this.disposables.add(
      disposable.every(SUSPENSION_CHECK_MILLISECONDS, () =>
        this.checkForSuspension(),
      ),
    );
    log.write('started', {callers: settings.listen.callers}, true);
  }

  /** Becomes unready, lets running requests finish within the grace period, and resolves when the process may exit. */
  async shutDown(): Promise<void> {
    const {log, settings} = this.options;
    const startedAt = performance.now();
    const graceMilliseconds = settings.shutdown.grace_seconds * 1000;
    this.isShuttingDown = true;
    log.write('leaving', {open: this.server.openRequestCount}, true);
    const endsAt = startedAt + graceMilliseconds - GRACE_MARGIN_MILLISECONDS;
    this.handler.prepareShutdown(endsAt);
    this.services.permits.withdraw();
    this.services.hedges?.stop();
    this.exchange.announceShutdown(endsAt);
    const earliestEndAt = Math.min(
      startedAt + BALANCER_DELAY_MILLISECONDS,
      endsAt,
    );
    for (;;) {
      await deadline.delay(SHUTDOWN_CHECK_MILLISECONDS);
      const now = performance.now();
      const isIdle = this.server.openRequestCount === 0;
      if (now >= endsAt || (isIdle && now >= earliestEndAt)) {
        break;
      }
    }
    this.handler.endOpenCalls();
    // Lets the last answers reach the kernel.
    await deadline.delay(SHUTDOWN_CHECK_MILLISECONDS);
    log.write('stopped', {open: this.server.openRequestCount}, true);
    this.dispose();
  }

  /** Applies the settings that can change at run time: peer seeds and the retry budget. */
  reload(settings: gatewaySettings.GatewaySettings): void {
    const {members, retries} = this.services;
    gatewaySettings.seedIps(settings).forEach(ip => members.addIp(ip));
    retries.setPolicy(gatewaySettings.retryPolicy(settings));
    const hasOnlyReloadableChanges =
      JSON.stringify({...settings, peers: {}, retries: {}}) ===
      JSON.stringify({...this.options.settings, peers: {}, retries: {}});
    this.options.log.write(
      'reloaded',
      {seeds: settings.peers.seeds, needs_restart: !hasOnlyReloadableChanges},
      true,
    );
  }

  dispose(): void {
    this.disposables.dispose();
  }

  /** Reads all state again if the process was suspended, since it is then outdated. */
  private checkForSuspension(): void {
    const {scheduler, speeds, buffers, bodies} = this.services;
    this.options.metrics.waiting.set(scheduler.waitingCount);
    this.options.metrics.measuredInstances.set(speeds.speeds.size);
    this.options.metrics.storeEra.set(this.services.follower.era.current ?? 0);
    this.options.metrics.heldBytes.set(buffers?.totalBytes ?? 0);
    this.options.metrics.bodyBytes.set(bodies.account.totalBytes);
    this.options.metrics.callerConnections.set(this.server.connectionCount);
    const gap = this.suspensions.check(performance.now(), Date.now());
    if (gap === undefined) {
      return;
    }
    this.options.log.write('stood-still', {gap_ms: Math.round(gap)}, true);
    void this.services.follower.refreshConfiguration(0);
    void this.services.follower.refreshInstances();
    void this.evacuatedDataCentres.refresh();
  }
}

function describeCrash({
  life,
  at,
}: promptPartBlame.SeenCrash): Readonly<Record<string, unknown>> {
  return {instance: life, age_ms: Math.round(performance.now() - at)};
}
