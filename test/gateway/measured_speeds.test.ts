/** A gateway that measures its instances and places by what it has measured. */
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const EVENT_COUNT = 50;

/** Sends the events at this interval. */
function streamEvery(milliseconds: number): replicaStandin.ReplicaHandler {
  return (request, response) => {
    response.writeHead(200, replicaStandin.answerHeaders(request));
    let event = 0;
    const timer = setInterval(() => {
      event++;
      response.write(replicaStandin.events(event, event));
      if (event === EVENT_COUNT) {
        clearInterval(timer);
        response.end();
      }
    }, milliseconds);
  };
}

/** Answers after this time. */
function answerAfter(milliseconds: number): replicaStandin.ReplicaHandler {
  return (request, response) => {
    setTimeout(() => {
      response.writeHead(200, replicaStandin.answerHeaders(request));
      response.end('read');
    }, milliseconds);
  };
}

for (const isMeasuring of [true, false]) {
  test(`measured speeds: the events of a stream give the speed of its instance${isMeasuring ? '' : ', unless that is switched off'}`, async t => {
    const gateway = await TestGateway.start(
      t,
      {'i-1': ['writers', streamEvery(25)]},
      testGateway.configurationSpec(1),
      {isMeasuringSpeeds: isMeasuring},
    );
    const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
    t.true(answer.isComplete);
    t.is(gateway.process.instanceSpeeds.size, isMeasuring ? 1 : 0);
  });
}

test('measured speeds: calls go to the instance that answers quickly, although both have no open request', async t => {
  const gateway = await TestGateway.start(
    t,
    {
      's-1': ['ledger', answerAfter(300)],
      's-2': ['ledger', answerAfter(2)],
    },
    testGateway.configurationSpec(1),
    {isMeasuringSpeeds: true},
  );
  while (gateway.process.instanceSpeeds.size < 2) {
    t.is((await gateway.call('/read/a')).status, 200);
  }
  const {requests} = gateway.replicas.get('s-1')!;
  const before = requests.length;
  for (let count = 0; count < 40; count++) {
    t.is((await gateway.call('/read/a')).status, 200);
  }
  const slow = requests.length - before;
  t.true(slow <= 4, `${slow} of 40 calls to the slow instance`);
});
