/** Drafts, which may run once, at engines that break off: where they may go on, and where they may not. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, configurationSpec} = testGateway;

/** Engines that keep backups of their runs. */
const CONFIGURATION = configurationSpec(1, {
  services: [
    platformObjects.serviceSpec(
      'writers',
      platformObjects.engineSpec({backups: true}),
    ),
  ],
});

const resetInsteadOfAnswer: replicaStandin.ReplicaHandler = (_, response) => {
  response.socket!.resetAndDestroy();
};

test('single runs: a draft whose engine loses its answer does not run at the engine of its backup too', async t => {
  const gateway = await TestGateway.start(
    t,
    {
      'i-1': ['writers', resetInsteadOfAnswer],
      'i-2': ['writers', resetInsteadOfAnswer],
      'i-3': ['writers', resetInsteadOfAnswer],
    },
    CONFIGURATION,
  );
  await gateway.until(() => gateway.process.state.instances.size === 3);
  const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.is(gateway.requestCount, 1);
  t.is(answer.status, 502);
});
