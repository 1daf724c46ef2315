/** Answers that an instance writes again, late, where the next answer is expected. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as instanceHttpClient from '../../src/platform/instance_http_client';
import * as rawInstance from '../support/raw_instance';

const test = ava.default;
const {ATTEMPT, SUCCESS, jsonHead, listen, receive, request, text} =
  rawInstance;
/** Longer than these answers take on a busy machine, in milliseconds. */
const PATIENCE_MILLISECONDS = 30_000;

test('replica: a duplicate answer on a kept connection is not taken for the answer to the next request', async t => {
  const whole = text([...SUCCESS, 'Content-Length: 3'], 'one');
  const instance = await listen(t, (socket, count) => {
    socket.write(count === 1 ? whole + whole : whole.replace('one', 'two'));
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  t.deepEqual(await receive(client.send(instance, request())), {
    status: 200,
    body: 'one',
  });
  t.deepEqual(await receive(client.send(instance, request())), {
    status: 200,
    body: 'two',
  });
});

test('replica: an unexpected answer that arrives while the connection is idle closes it', async t => {
  const whole = text([...SUCCESS, 'Content-Length: 3'], 'one');
  let first: net.Socket | undefined;
  const instance = await listen(t, (socket, count) => {
    first ??= socket;
    socket.write(count === 1 ? whole : whole.replace('one', 'two'));
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  await receive(client.send(instance, request()));
  const closed = new Promise(resolve => first!.once('close', resolve));
  first!.write(whole);
  await closed;
  t.deepEqual(await receive(client.send(instance, request())), {
    status: 200,
    body: 'two',
  });
});

/** Full replicas refuse without the attempt id. */
const REFUSAL = text([
  'HTTP/1.1 503 Service Unavailable',
  'X-Rhubarbvane-Not-Executed: 1',
  'Content-Length: 0',
]);

test('replica: a refusal that is written again when the next request arrives is not taken for its answer', async t => {
  let runs = 0;
  let refused: net.Socket | undefined;
  const instance = await listen(t, (socket, count) => {
    if (count === 1) {
      refused = socket;
      socket.write(REFUSAL);
      return;
    }
    runs++;
    const whole = text([...SUCCESS, 'Content-Length: 3'], 'one');
    socket.write(socket === refused ? REFUSAL + whole : whole);
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  t.deepEqual(await receive(client.send(instance, request())), {
    status: 503,
    body: '',
  });
  const outcome = await receive(client.send(instance, request()));
  t.is(runs, 1);
  t.deepEqual(outcome, {status: 200, body: 'one'});
});

// Guards against a refusal of an earlier send that is taken for the answer to a later send of the same attempt.
test('replica: a refusal that is written again when its attempt is sent again is not taken for the answer to that', async t => {
  const refusal = text([
    'HTTP/1.1 503 Service Unavailable',
    'X-Rhubarbvane-Not-Executed: 1',
    `X-Rhubarbvane-Attempt-Id: ${ATTEMPT}`,
    'Content-Length: 0',
  ]);
  let refused: net.Socket | undefined;
  const instance = await listen(t, socket => {
    if (refused === undefined) {
      refused = socket;
      socket.write(refusal);
      return;
    }
    const whole = text([...SUCCESS, 'Content-Length: 3'], 'one');
    socket.write(socket === refused ? refusal + whole : whole);
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const first = await receive(client.send(instance, request()));
  t.deepEqual(first, {status: 503, body: ''});
  const again = {...request(), isSentAgain: true};
  const second = await receive(client.send(instance, again));
  t.deepEqual(second, {status: 200, body: 'one'});
});

// Guards against answers to calls without an id that are matched to the next such call on the same connection.
test('replica: an answer to a copy or a report that is written again is not taken for that to the next call', async t => {
  const late = new Map<net.Socket, string>();
  const instance = await listen(t, (socket, count) => {
    const body = `{"kvHandle":"h-${count}","created":${count},"queued":${count}}`;
    const whole = text(jsonHead(body), body);
    socket.write((late.get(socket) ?? '') + whole);
    late.set(socket, whole);
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  for (let count = 1; count <= 6; count += 2) {
    const copy = await client.copyRun(instance, {
      attemptId: `run-${count}`,
      target: instance,
      isFinal: false,
      timeoutMilliseconds: PATIENCE_MILLISECONDS,
    });
    t.is(copy._unsafeUnwrap().handle, `h-${count}`);
    const report = await client.readReport(instance);
    t.is(report?.queuedRuns, count + 1);
  }
});

// Guards against a copy that is made for another run, as its answer says.
test('replica: an answer to a copy that names another run has no handle', async t => {
  const body = '{"kvHandle":"h","created":3}';
  const head = [...jsonHead(body), 'X-Rhubarbvane-Attempt-Id: other'];
  const instance = await listen(t, socket => socket.write(text(head, body)));
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const copy = await client.copyRun(instance, {
    attemptId: 'a',
    target: instance,
    isFinal: false,
    timeoutMilliseconds: PATIENCE_MILLISECONDS,
  });
  t.is(copy._unsafeUnwrapErr().handle, undefined);
});

// Guards against an answer to a call without an id that is matched to the next such call on the same connection.
test('replica: an answer without an id that is written again is not taken for that to the next call without one', async t => {
  const {caller, ...rest} = request();
  const anonymous = {...rest, caller: {...caller, attemptId: undefined}};
  const late = new Map<net.Socket, string>();
  const instance = await listen(t, (socket, count) => {
    const head = ['HTTP/1.1 200 OK', 'X-Rhubarbvane-Server-Stamp: s'];
    const whole = text([...head, 'Content-Length: 1'], String(count));
    socket.write((late.get(socket) ?? '') + whole);
    late.set(socket, whole);
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  for (let count = 1; count <= 3; count++) {
    const outcome = await receive(client.send(instance, anonymous));
    t.deepEqual(outcome, {status: 200, body: String(count)});
  }
});
