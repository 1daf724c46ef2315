/** Metrics of a gateway. */
import * as promClient from 'prom-client';
import * as metrics from '../../base/node/metrics';

/** Bucket bounds of latency histograms, in seconds. */
const LATENCY_BOUNDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 4, 8, 16, 32,
];
/** Bucket bounds of pauses between events, in seconds. */
const PAUSE_BOUNDS = [0.02, 0.05, 0.1, 0.18, 0.36, 0.72, 1.5, 3];

/** Counters, gauges and histograms, created once per process. */
export class GatewayMetrics {
  readonly requests: promClient.Counter<'route' | 'outcome'>;
  readonly latency: promClient.Histogram<'route'>;
  readonly pauses: promClient.Histogram;
  readonly sends: promClient.Counter<'outcome'>;
  readonly instanceStates: promClient.Counter<'state'>;
  readonly unreadableStatements: promClient.Counter<'part'>;
  readonly repeats: promClient.Counter<'event'>;
  readonly hedges: promClient.Counter<'outcome'>;
  readonly connections: promClient.Counter;
  readonly storeCalls: promClient.Counter<'operation'>;
  readonly copies: promClient.Counter<'outcome'>;
  readonly unusedCopies: promClient.Counter<'gap'>;
  readonly fleetMembers: promClient.Gauge;
  readonly fleetMessages: promClient.Counter<'direction' | 'kind'>;
  readonly fleetBytes: promClient.Counter<'direction' | 'kind'>;
  readonly openRequests: promClient.Gauge;
  readonly storeEra: promClient.Gauge;
  readonly waiting: promClient.Gauge;
  readonly evacuatedDataCentres: promClient.Gauge;
  readonly measuredInstances: promClient.Gauge;
  readonly placements: promClient.Counter<'pause'>;
  readonly heldBytes: promClient.Gauge;
  readonly slowReaderCuts: promClient.Counter;
  readonly clientLimits: promClient.Counter<'limit'>;
  readonly callerConnections: promClient.Gauge;
  readonly bodyBytes: promClient.Gauge;
  readonly memoryBytes: promClient.Gauge<'part'>;
  readonly configurationSize: promClient.Gauge<'part'>;
  readonly refusedConfigurations: promClient.Counter;
  readonly heldGenerations: promClient.Counter<'reason'>;
  readonly refusedGenerations: promClient.Counter<'reason'>;

  constructor(registry: metrics.MetricsRegistry) {
    this.requests = registry.counter(
      'rhubarbvane_gateway_requests_total',
      'Requests of callers by route and outcome',
      ['route', 'outcome'],
    );
    this.latency = registry.histogram(
      'rhubarbvane_gateway_first_byte_seconds',
      'Time to the answer, or to the first event of a stream',
      LATENCY_BOUNDS,
      ['route'],
    );
    this.pauses = registry.histogram(
      'rhubarbvane_gateway_event_pause_seconds',
      'Longest pause between events of one stream',
      PAUSE_BOUNDS,
    );
    this.sends = registry.counter(
      'rhubarbvane_gateway_sends_total',
      'Requests sent to instances by outcome',
      ['outcome'],
    );
    this.instanceStates = registry.counter(
      'rhubarbvane_gateway_instance_states_total',
      'Instances that became cold, leaving or in back-off',
      ['state'],
    );
    this.unreadableStatements = registry.counter(
      'rhubarbvane_gateway_unreadable_statements_total',
      'Statements of instances in answers that could not be read, by part',
      ['part'],
    );
    this.repeats = registry.counter(
      'rhubarbvane_gateway_repeats_total',
      'Requests sent to a further instance, and decisions about them, by event',
      ['event'],
    );
    this.hedges = registry.counter(
      'rhubarbvane_gateway_hedges_total',
      'Second sends of calls that were not answered in the usual time, by outcome',
      ['outcome'],
    );
    this.connections = registry.counter(
      'rhubarbvane_gateway_connections_total',
      'Connections made to instances',
    );
    this.storeCalls = registry.counter(
      'rhubarbvane_gateway_store_calls_total',
      'Calls to the metadata store',
      ['operation'],
    );
    this.copies = registry.counter(
      'rhubarbvane_gateway_run_copies_total',
      'Copies of running generations by outcome',
      ['outcome'],
    );
    this.unusedCopies = registry.counter(
      'rhubarbvane_gateway_unused_copies_total',
      'Copies from which a broken generation did not go on, by reason',
      ['gap'],
    );
    this.fleetMembers = registry.gauge(
      'rhubarbvane_gateway_fleet_members',
      'Other gateways with a recent sign of life',
    );
    this.fleetMessages = registry.counter(
      'rhubarbvane_gateway_fleet_messages_total',
      'Datagrams between gateways',
      ['direction', 'kind'],
    );
    this.fleetBytes = registry.counter(
      'rhubarbvane_gateway_fleet_bytes_total',
      'Bytes of datagrams between gateways, without headers',
      ['direction', 'kind'],
    );
    this.storeEra = registry.gauge(
      'rhubarbvane_gateway_store_era',
      'Era of the state source, which rises each time it comes back from a copy; 0 before it is known',
    );
    this.openRequests = registry.gauge(
      'rhubarbvane_gateway_open_requests',
      'Requests of callers without a whole answer',
    );
    this.waiting = registry.gauge(
      'rhubarbvane_gateway_waiting_generations',
      'Generations that wait for room at an engine',
    );
    this.heldGenerations = registry.counter(
      'rhubarbvane_gateway_held_generations_total',
      'Generations that waited before they were placed, by the first reason',
      ['reason'],
    );
    this.refusedGenerations = registry.counter(
      'rhubarbvane_gateway_refused_generations_total',
      'Generations refused because they could not start in time, by reason',
      ['reason'],
    );
    this.evacuatedDataCentres = registry.gauge(
      'rhubarbvane_gateway_evacuated_data_centres',
      'Data centres that are evacuated as far as this gateway knows',
    );
    this.measuredInstances = registry.gauge(
      'rhubarbvane_gateway_measured_instances',
      'Incarnations of instances of which a speed is known',
    );
    this.placements = registry.counter(
      'rhubarbvane_gateway_placements_total',
      'Placed generations by the pause that was forecast',
      ['pause'],
    );
    this.heldBytes = registry.gauge(
      'rhubarbvane_gateway_held_bytes',
      'Bytes held for callers who read slowly',
    );
    this.clientLimits = registry.counter(
      'rhubarbvane_gateway_client_limits_total',
      'Requests refused and connections closed by limits on what callers make the gateway hold, by limit',
      ['limit'],
    );
    this.callerConnections = registry.gauge(
      'rhubarbvane_gateway_caller_connections',
      'Open connections of callers',
    );
    this.bodyBytes = registry.gauge(
      'rhubarbvane_gateway_body_bytes',
      'Bytes held for the bodies of requests',
    );
    this.memoryBytes = registry.gauge(
      'rhubarbvane_gateway_memory_bytes',
      'Memory of the process, the limit of its heap, and memory of its machine, by part',
      ['part'],
    );
    this.configurationSize = registry.gauge(
      'rhubarbvane_gateway_configuration_size',
      'Size of the configuration in force, by part',
      ['part'],
    );
    this.refusedConfigurations = registry.counter(
      'rhubarbvane_gateway_refused_configurations_total',
      'Reads of a configuration that was not taken for its size',
    );
    this.slowReaderCuts = registry.counter(
      'rhubarbvane_gateway_slow_reader_cuts_total',
      'Answers cut off because too many bytes were held for callers',
    );
  }
}
