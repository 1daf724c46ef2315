/** Requests go only to the regions that their route and customer allow. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {events, answerHeaders, succeed} = replicaStandin;
/** Requests that each test sends, so that a single one sent to the wrong place shows. */
const REQUESTS = 12;
const POST = {method: 'POST', body: 'p'};

async function callTimes(
  gateway: testGateway.TestGateway,
  path: string,
): Promise<number[]> {
  const answers = await Promise.all(
    Array.from({length: REQUESTS}, () => gateway.call(path, POST)),
  );
  return answers.map(each => each.status);
}

const stream: replicaStandin.ReplicaHandler = (request, response) => {
  response.writeHead(200, answerHeaders(request));
  response.end(events(1, 5));
};

for (const [title, ofRoute, ofCustomer, expected] of [
  ['the route allows one region', ['south'], undefined, 'i-a'],
  ['the customer allows one region', undefined, ['north'], 'i-b'],
  ['both allow one', ['south', 'north'], ['north'], 'i-b'],
  ['they have no region in common', ['south'], ['north'], undefined],
  ['no region of the list has an instance', ['west'], undefined, undefined],
] as const) {
  test(`allowed regions: if ${title}, ${expected ?? 'no instance'} gets the requests`, async t => {
    const configuration = testGateway.configurationSpec(1, {
      routes: [
        testGateway.route('/file/', 'non_idempotent', 'ledger', {
          attempts: 1,
          regionsAllowed: ofRoute,
        }),
        testGateway.route('/draft/', 'streaming', 'writers', {
          affinity: true,
          regionsAllowed: ofRoute,
        }),
      ],
      tenants: [
        {
          name: 'customer-one',
          apiKeys: [testGateway.KEY],
          regionsAllowed: ofCustomer,
        },
      ],
    });
    const gateway = await TestGateway.start(
      t,
      {
        'i-a': ['ledger', succeed('a'), 'v1', 'a'],
        'i-b': ['ledger', succeed('b'), 'v1', 'b'],
        'i-a-engine': ['writers', stream, 'v1', 'a'],
        'i-b-engine': ['writers', stream, 'v1', 'b'],
        'i-c': ['ledger', succeed('c'), 'v1', 'unknown'],
      },
      configuration,
      {regions: {a: 'south', b: 'north'}},
    );
    await gateway.until(() => gateway.process.state.instances.size === 5);
    const status = expected === undefined ? 503 : 200;
    const statuses = [
      ...(await callTimes(gateway, '/file/x')),
      ...(await callTimes(gateway, '/draft/x')),
    ];
    t.deepEqual([...new Set(statuses)], [status]);
    const reached = [...gateway.replicas.values()]
      .filter(replica => replica.requests.length > 0)
      .map(replica => replica.id);
    const ids = expected === undefined ? [] : [expected, `${expected}-engine`];
    t.deepEqual(reached, ids);
  });
}
