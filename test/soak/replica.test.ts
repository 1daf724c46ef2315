/** The replicas of the soak test keep backups, and tell whether a continuation had a copy. */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as ava from 'ava';
import * as replicas from '../../soak/replica';
import * as requestHistory from '../../soak/request_history';

const test = ava.default;
const ATTEMPT = '00000000000000a1';

interface Answer {
  /** 0 when the connection broke before an answer. */
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
}

interface TwoReplicas {
  readonly source: replicas.Replica;
  readonly holder: replicas.Replica;
  readonly history: requestHistory.RequestHistory;
}

async function startReplicas(
  t: ava.ExecutionContext,
  worksOn = false,
): Promise<TwoReplicas> {
  const history = new requestHistory.RequestHistory();
  history.recordSent(ATTEMPT, requestHistory.RequestKind.Draft, 'key', 'g1');
  const all: replicas.Replica[] = [];
  for (const id of ['r1', 'r2']) {
    const replica = new replicas.Replica(
      {
        id,
        service: 'writers',
        version: 'v1',
        dataCentre: 'a',
        speed: 1,
        worksOn,
        backupMilliseconds: 100,
      },
      history,
      address => all.find(each => each.address === address)?.reachableCopies,
    );
    await replica.start();
    t.teardown(() => replica.crash());
    all.push(replica);
  }
  return {source: all[0], holder: all[1], history};
}

function send(
  replica: replicas.Replica,
  pieces: number,
  headers: http.OutgoingHttpHeaders,
): Promise<Answer> {
  const [host, port] = replica.address.split(':');
  return new Promise(resolve => {
    const failed = {status: 0, body: '', isComplete: false};
    http
      .request(
        {
          host,
          port,
          method: 'POST',
          agent: false,
          headers: {
            'X-Rhubarbvane-Attempt-Id': ATTEMPT,
            'X-Rhubarbvane-Expect-Replica': replica.id,
            ...headers,
          },
        },
        response => {
          let body = '';
          response.on('data', chunk => (body += chunk));
          response.on('error', () => undefined);
          response.once('close', () =>
            resolve({
              status: response.statusCode ?? 0,
              body,
              isComplete: response.complete,
            }),
          );
        },
      )
      .once('error', () => resolve(failed))
      .end(String(pieces));
  });
}

async function readReport(
  replica: replicas.Replica,
): Promise<Record<string, number>> {
  const answer = await fetch(`http://${replica.address}/report`);
  return (await answer.json()) as Record<string, number>;
}

/** Begins a run with a backup, and breaks its connection. */
async function breakRun(
  {source, holder}: TwoReplicas,
  afterMilliseconds: number,
): Promise<void> {
  const answered = send(source, 120, {
    'X-Rhubarbvane-Kv-Backup': holder.address,
  });
  await timers.setTimeout(afterMilliseconds);
  source.engine.breakConnections();
  await answered;
}

function continueFrom(holder: replicas.Replica): http.OutgoingHttpHeaders {
  return {'Kv-From': `${holder.address}/${ATTEMPT}`, 'Last-Event-Id': '1'};
}

test('soak replica: a run goes on from its backup once, and counts as the same run', async t => {
  const two = await startReplicas(t);
  await breakRun(two, 700);
  const answer = await send(two.holder, 3, continueFrom(two.holder));
  t.is(answer.status, 200);
  t.true(answer.isComplete);
  t.deepEqual(two.history.violations(), []);
  const again = await send(two.holder, 3, continueFrom(two.holder));
  t.is(again.status, 503);
});

test('soak replica: without a copy a continuation is rejected', async t => {
  const two = await startReplicas(t);
  await breakRun(two, 50);
  const {status} = await send(two.holder, 3, continueFrom(two.holder));
  t.is(status, 503);
  t.deepEqual(two.history.violations(), []);
});

test('soak replica: without a copy a continuation whose answer is lost is a new run', async t => {
  const two = await startReplicas(t);
  await breakRun(two, 50);
  two.holder.mode = replicas.ReplicaMode.LosingAnswers;
  const {status} = await send(two.holder, 3, continueFrom(two.holder));
  t.is(status, 0);
  t.deepEqual(
    two.history.violations().map(({promise}) => promise),
    ['once'],
  );
});

test('soak replica: the memory of a backup is in the report until the replica starts again', async t => {
  const two = await startReplicas(t);
  await breakRun(two, 700);
  await timers.setTimeout(400);
  const before = await readReport(two.holder);
  t.is(before.kvHandles, 1);
  t.true(before.kvInUse > 100);
  two.holder.crash();
  await two.holder.start();
  const after = await readReport(two.holder);
  t.is(after.kvInUse, 0);
  t.true(after.born > before.born);
  const {status} = await send(two.holder, 3, continueFrom(two.holder));
  t.is(status, 503);
});

test('soak replica: a full replica takes no backup', async t => {
  const two = await startReplicas(t);
  two.holder.engine.copies.isFull = true;
  await breakRun(two, 700);
  const {status} = await send(two.holder, 3, continueFrom(two.holder));
  t.is(status, 503);
});

test('soak replica: a run that is not dropped with its connection is a violation beside its continuation, unless it was stopped', async t => {
  for (const [isStopped, expected] of [
    [false, ['once']],
    [true, []],
  ] as const) {
    const two = await startReplicas(t, true);
    await breakRun(two, 700);
    if (isStopped) {
      await fetch(`http://${two.source.address}/kv-move`, {
        method: 'POST',
        body: JSON.stringify({
          id: ATTEMPT,
          target: two.holder.address,
          last: true,
        }),
      });
    }
    await send(two.holder, 3, continueFrom(two.holder));
    await timers.setTimeout(500);
    t.deepEqual(
      two.history.violations().map(({promise}) => promise),
      [...expected],
    );
  }
});
