/** When a repeated generation takes from the retry budget. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as neverthrow from 'neverthrow';
import * as deadline from '../../src/base/common/deadline';
import * as bodyStore from '../../src/base/node/body_store';
import * as metrics from '../../src/base/node/metrics';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as instanceAvailability from '../../src/gateway/common/availability/instance_availability';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as retryLimiter from '../../src/gateway/common/retry_limiter';
import * as repeatEvent from '../../src/gateway/common/repeat_event';
import * as usageCounts from '../../src/gateway/common/usage_counts';
import * as runTable from '../../src/gateway/common/run_table';
import * as callContext from '../../src/gateway/node/call_context';
import * as eventDelivery from '../../src/gateway/node/event_delivery';
import * as gatewayMetrics from '../../src/gateway/node/gateway_metrics';
import * as gatewayServices from '../../src/gateway/node/gateway_services';
import * as generationScheduler from '../../src/gateway/node/generation_scheduler';
import * as streamContinuations from '../../src/gateway/node/stream_continuations';
import * as streamSegment from '../../src/gateway/node/stream_segment';
import * as gatewayRecords from '../support/gateway_records';
import * as plainCallBench from '../support/plain_call_bench';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const ENDPOINT = 'writers';

/** A generation that an engine turned away, and that waits for room until `place` is called. */
function createWaitingGeneration(
  arrival: instanceClient.Exchange['response'] = new Promise(() => undefined),
) {
  const retries = new retryLimiter.RetryLimiter(
    {windowMilliseconds: 10_000, ratio: 0, allowance: 10},
    {startedAt: performance.now(), isFirstStart: true},
    () => 1,
  );
  const [instance] = new instanceTable.InstanceTable().replace(
    [gatewayRecords.instanceRecord({id: 'i-1'})],
    0,
  ).added;
  const run = {} as runTable.Run;
  let place!: () => void;
  const placed = new Promise<void>(resolve => (place = resolve));
  const context = new callContext.CallContext(
    {
      retries,
      retryUsage: new usageCounts.UsageCounts(
        Object.values(repeatEvent.RepeatEvent),
      ),
      metrics: new gatewayMetrics.GatewayMetrics(
        new metrics.MetricsRegistry({}),
      ),
      log: {write: () => undefined},
      limits: {get: () => undefined},
      client: {
        send: () => ({
          response: arrival,
          closed: new Promise(() => undefined),
          cancel: () => undefined,
        }),
      },
      scheduler: {
        recordTurnedAway: () => true,
        async placeAgain() {
          await placed;
          return {placed: {run, instance}};
        },
      } as unknown as generationScheduler.GenerationScheduler,
    } as unknown as gatewayServices.GatewayServices,
    {
      caller: {} as instanceClient.CallerRequest,
      body: bodyStore.HeldBody.of(Buffer.alloc(0)),
      route: gatewayRecords.route('/draft/', {attempts: 1}),
      endpoint: undefined,
      endpointName: ENDPOINT,
      customer: undefined,
      scope: instanceAvailability.ANY_REGION,
      arrivedAt: performance.now(),
      deadlineAt: performance.now() + 4_000,
      fingerprint: 'f',
      configurationVersion: 1,
    },
    new plainCallBench.FakeResponse() as unknown as http.ServerResponse,
  );
  context.recordSend();
  context.send(instance, {
    urgency: undefined,
    lastEventId: undefined,
    continuation: undefined,
    backupAddress: undefined,
  });
  const continuations = new streamContinuations.StreamContinuations(
    context,
    run,
    streamSegment.DEFAULT_ENGINE,
    {hasBegun: false} as eventDelivery.EventDelivery,
  );
  const next = continuations.runAgain(
    {instance, continuation: undefined},
    streamSegment.SegmentEnd.NotRun,
    {wasTurnedAway: true} as streamSegment.StreamSegment,
  );
  const left = () => retries.left(ENDPOINT, performance.now());
  return {next, place, left, retries, instance};
}

test('repeat charging: a generation that waits for room takes from the budget when it is sent', async t => {
  const {next, place, left, instance} = createWaitingGeneration();
  const before = left();
  await new Promise(resolve => setImmediate(resolve));
  t.true(left() >= before);
  place();
  t.is((await next)?.instance, instance);
  t.true(left() < before - 0.5);
});

test('repeat charging: a generation is not sent if the budget is used up when there is room', async t => {
  const {next, place, retries} = createWaitingGeneration();
  while (retries.tryAcquire(ENDPOINT, performance.now())) {
    // Uses up the budget.
  }
  place();
  t.is(await next, undefined);
});

test('repeat charging: a generation that never arrived at an engine is sent again without the budget', async t => {
  const {NeverSent} = instanceClient.SendError;
  const {next, place, retries, instance} = createWaitingGeneration(
    Promise.resolve(neverthrow.err(NeverSent)),
  );
  while (retries.tryAcquire(ENDPOINT, performance.now())) {
    // Uses up the budget.
  }
  place();
  t.is((await next)?.instance, instance);
});

test('repeat charging: runs whose copies are rejected one after the other stay within the budget', async t => {
  const allowance = 10;
  const streams = 3 * allowance;
  let rejected = 0;
  const responses: http.ServerResponse[] = [];
  const stream: replicaStandin.ReplicaHandler = (request, response) => {
    if (request.headers['kv-from'] !== undefined) {
      rejected++;
      replicaStandin.shed(request, response);
      return;
    }
    response.writeHead(200, replicaStandin.answerHeaders(request));
    response.write(replicaStandin.events(1, 3));
    responses.push(response);
  };
  const gateway = await testGateway.TestGateway.start(
    t,
    {'i-1': ['writers', stream], 'i-2': ['writers', stream]},
    testGateway.configurationSpec(1, {
      services: [
        platformObjects.serviceSpec(
          'writers',
          platformObjects.engineSpec({backups: true}),
        ),
      ],
    }),
    {settings: {retries: {window_seconds: 60, ratio: 0, allowance}}},
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  gateway.replicas.forEach(replica => {
    replica.copyStatus = 404;
    replica.memoryTokens = 30_000;
  });
  let endedCount = 0;
  for (let index = 0; index < streams; index++) {
    const body = `p${index}`;
    void gateway
      .call('/draft/a', {method: 'POST', body})
      .then(() => endedCount++);
    await gateway.until(() => responses.length > index);
  }
  // Only runs that were at work for some time go on from their backups.
  await deadline.delay(500);
  responses.forEach(response => response.write(replicaStandin.events(4, 4)));
  await deadline.delay(200);
  for (const [index, response] of responses.entries()) {
    response.socket!.resetAndDestroy();
    await gateway.until(() => endedCount > index);
  }
  t.true(rejected > 0);
  t.true(rejected <= allowance, `${rejected} rejected, allowed ${allowance}`);
});
