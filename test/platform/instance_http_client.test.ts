/** The client of replicas, given answers that are unexpected, duplicated, malformed or truncated. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as ava from 'ava';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as instanceHttpClient from '../../src/platform/instance_http_client';
import * as freePorts from '../../standins/free_ports';
import * as rawInstance from '../support/raw_instance';

const test = ava.default;
const {CopyError, SendError} = instanceClient;
const {SUCCESS, instanceAt, jsonHead, listen, receive, request, text} =
  rawInstance;

interface Case {
  readonly title: string;
  readonly answer: (socket: net.Socket) => void;
  readonly expected: rawInstance.Outcome;
}

const CASES: readonly Case[] = [
  {
    title: 'a whole answer with a length',
    answer: socket =>
      socket.write(text([...SUCCESS, 'Content-Length: 5'], 'whole')),
    expected: {status: 200, body: 'whole'},
  },
  {
    title: 'an answer without length whose connection closes normally',
    answer: socket => socket.end(text(SUCCESS, 'whole')),
    expected: {status: 200, body: 'whole'},
  },
  {
    title: 'an answer without length whose reset arrives with its bytes',
    answer: socket => {
      socket.write(text(SUCCESS, 'par'));
      socket.resetAndDestroy();
    },
    expected: {status: 200, failure: 'ended early'},
  },
  {
    title:
      'an answer in a transfer coding other than chunks whose reset arrives with its bytes',
    answer: socket => {
      socket.write(text([...SUCCESS, 'Transfer-Encoding: identity'], 'par'));
      socket.resetAndDestroy();
    },
    expected: {status: 200, failure: 'ended early'},
  },
  {
    title: 'an answer that ends before its length',
    answer: socket =>
      socket.end(text([...SUCCESS, 'Content-Length: 9'], 'par')),
    expected: {status: 200, failure: 'ended early'},
  },
  {
    title: 'an answer to another request',
    answer: socket =>
      socket.write(
        text([
          'HTTP/1.1 200 OK',
          'X-Rhubarbvane-Attempt-Id: 00000000000000a2',
          'X-Rhubarbvane-Server-Stamp: s',
          'Content-Length: 0',
        ]),
      ),
    expected: {error: SendError.WrongAnswer},
  },
  {
    title: 'a success without the server stamp',
    answer: socket =>
      socket.write(text([...SUCCESS.slice(0, 2), 'Content-Length: 0'])),
    expected: {error: SendError.WrongAnswer},
  },
  {
    title: 'a body in an encoding that was not requested',
    answer: socket =>
      socket.write(
        text([...SUCCESS, 'Content-Encoding: gzip', 'Content-Length: 0']),
      ),
    expected: {error: SendError.WrongAnswer},
  },
  {
    title: 'bytes that are not an HTTP answer',
    answer: socket => socket.write('~~~~ nonsense\r\n\r\n'),
    expected: {error: SendError.ConnectionLost},
  },
  {
    title: 'a connection closed without an answer',
    answer: socket => socket.destroy(),
    expected: {error: SendError.ConnectionLost},
  },
];

for (const each of CASES) {
  test(`replica: ${each.title}`, async t => {
    const instance = await listen(t, each.answer);
    const client = new instanceHttpClient.InstanceHttpClient();
    t.teardown(() => client.dispose());
    const outcome = await receive(client.send(instance, request()));
    t.deepEqual(outcome, each.expected);
  });
}

test('replica: a refused connection proves that nothing was sent', async t => {
  const port = await freePorts.freeStreamPort();
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const outcome = await receive(client.send(instanceAt(port), request()));
  t.deepEqual(outcome, {error: SendError.NeverSent});
});

test('replica: a request that this process withdraws was never sent and is no failure of the instance', async t => {
  const server = http.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const cancelled = client.send(instanceAt(port), request());
  cancelled.cancel();
  t.deepEqual(await receive(cancelled), {error: SendError.Withdrawn});
  const sent = request();
  const unwritable = client.send(instanceAt(port), {
    ...sent,
    caller: {...sent.caller, passedHeaders: ['X-One', 'line\nbreak']},
  });
  t.deepEqual(await receive(unwritable), {error: SendError.Withdrawn});
});

for (const [title, body] of [
  ['cut in order, without a length', '{"queued":3,"kvInUse":12'],
  ['empty', ''],
  ['that is no object', '7'],
] as const) {
  test(`replica: a report ${title} is no report`, async t => {
    const instance = await listen(t, socket =>
      socket.end(text(['HTTP/1.1 200 OK'], body)),
    );
    const client = new instanceHttpClient.InstanceHttpClient();
    t.teardown(() => client.dispose());
    t.is(await client.readReport(instance), undefined);
  });
}

interface CopyCase {
  readonly title: string;
  readonly answer: (socket: net.Socket) => void;
  readonly expected: instanceClient.CopyError;
}

function writeStatus(status: string): (socket: net.Socket) => void {
  return socket => socket.write(text([status, 'Content-Length: 0']));
}

const COPY_CASES: readonly CopyCase[] = [
  {
    title: 'whose connection breaks may have been carried out',
    answer: socket => socket.resetAndDestroy(),
    expected: CopyError.NoAnswer,
  },
  {
    title: 'that is not answered in time may have been carried out',
    answer: () => undefined,
    expected: CopyError.NoAnswer,
  },
  {
    title: 'that fails may have been carried out',
    answer: writeStatus('HTTP/1.1 500 Internal Server Error'),
    expected: CopyError.NoAnswer,
  },
  {
    title: 'without a handle in its answer may have been carried out',
    answer: writeStatus('HTTP/1.1 200 OK'),
    expected: CopyError.NoAnswer,
  },
  {
    title: 'for a run that is not there says so',
    answer: writeStatus('HTTP/1.1 404 Not Found'),
    expected: CopyError.NoSuchRun,
  },
  {
    title: 'at the address of another instance says so',
    answer: writeStatus('HTTP/1.1 421 Misdirected Request'),
    expected: CopyError.OtherInstance,
  },
];

function errorOfOrder(
  t: ava.ExecutionContext,
  instance: instanceTable.Instance,
): Promise<instanceClient.CopyError> {
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const copied = client.copyRun(instance, {
    attemptId: 'a',
    target: instance,
    isFinal: true,
    timeoutMilliseconds: 300,
  });
  return copied.then(result => result._unsafeUnwrapErr().error);
}

for (const {title, answer, expected} of COPY_CASES) {
  test(`replica: an order to copy ${title}`, async t => {
    t.is(await errorOfOrder(t, await listen(t, answer)), expected);
  });
}

test('replica: an order to copy at an address where nothing listens was not carried out', async t => {
  const port = await freePorts.freeStreamPort();
  t.is(await errorOfOrder(t, instanceAt(port)), CopyError.Refused);
});

test('replica: an order to copy at an instance that resets new connections does not tell that it is gone', async t => {
  const server = net.createServer(socket => socket.resetAndDestroy());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const {port} = server.address() as net.AddressInfo;
  t.is(await errorOfOrder(t, instanceAt(port)), CopyError.NoAnswer);
});

test('replica: memory that no listed run accounts for is told apart', async t => {
  const runs = [['a', 1_200, 9, 5]];
  const report = {kvInUse: 5_000, kvSize: 9_000, born: 7, runs};
  const {instance, client} = await connect(t, JSON.stringify(report));
  const {unlistedMemoryTokens, freeMemoryTokens, startedAt} =
    (await client.readReport(instance))!;
  t.is(unlistedMemoryTokens, 3_800);
  t.is(freeMemoryTokens, 4_000);
  t.is(startedAt, 7);
});

const DEPTH = 20_000;
const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
/** Longer than these answers take on a busy machine, in milliseconds. */
const PATIENCE_MILLISECONDS = 30_000;
/** Larger than one read of a socket. */
const PADDING = `"padding":"${'x'.repeat(200_000)}"`;

/** Values of a field of JSON that no instance means. */
const ODD_VALUES: readonly (readonly [string, string])[] = [
  ['nested 20,000 levels deep', NESTED],
  ['a number beyond all bounds', '1e400'],
  ['a number of 400 digits', '9'.repeat(400)],
  ['an object without a value', '{"toString":1,"valueOf":1}'],
  ['a text', '"many"'],
  ['null', 'null'],
];

/** An instance that answers with the body, and a patient client. */
async function connect(t: ava.ExecutionContext, body: string) {
  const instance = await listen(t, socket =>
    socket.write(text(jsonHead(body), body)),
  );
  const client = new instanceHttpClient.InstanceHttpClient(
    () => undefined,
    PATIENCE_MILLISECONDS,
  );
  t.teardown(() => client.dispose());
  return {instance, client};
}

/** Copies a run at an instance that answers with the body. */
async function copyFrom(t: ava.ExecutionContext, body: string) {
  const {instance, client} = await connect(t, body);
  return client.copyRun(instance, {
    attemptId: 'a',
    target: instance,
    isFinal: false,
    timeoutMilliseconds: PATIENCE_MILLISECONDS,
  });
}

for (const [title, value] of ODD_VALUES) {
  test(`replica: a report whose fields are ${title} is read without them`, async t => {
    const fields = `"queued":${value},"kvInUse":${value},"kvSize":${value},"leaves_ms":${value},"born":${value}`;
    const runs = `"runs":[${value},[${value},1,${value}],["a",1,7]]`;
    const body = `{${PADDING},${fields},"state":${value},${runs}}`;
    const {instance, client} = await connect(t, body);
    t.deepEqual(await client.readReport(instance), {
      eventsByRun: new Map([['a', 7]]),
      queuedRuns: 0,
      memoryTokens: 0,
      unlistedMemoryTokens: 0,
      freeMemoryTokens: Infinity,
      startedAt: 0,
      isLeaving: false,
    });
  });

  test(`replica: an answer to a copy whose fields are ${title} is read without them`, async t => {
    const body = `{${PADDING},"kvHandle":"h","created":${value}}`;
    const copy = await copyFrom(t, body);
    t.deepEqual(copy._unsafeUnwrap(), {handle: 'h', eventCount: 0});
  });
}

test('replica: an answer to a copy whose handle is no text has no handle', async t => {
  const copy = await copyFrom(t, `{"kvHandle":${NESTED},"created":3}`);
  t.is(copy._unsafeUnwrapErr().handle, undefined);
});

test('replica: calls to a port that does not exist have no answer', async t => {
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const instance = instanceAt(99_999);
  t.is(await client.readReport(instance), undefined);
  const outcome = await receive(client.send(instance, request()));
  t.deepEqual(outcome, {error: SendError.Withdrawn});
});

/** Orders a copy of run `a` from an instance that answers with the text. */
async function orderCopy(
  t: ava.ExecutionContext,
  answer: string,
  isFinal: boolean,
) {
  const instance = await listen(t, socket => socket.write(answer));
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  return client.copyRun(instance, {
    attemptId: 'a',
    target: instance,
    isFinal,
    timeoutMilliseconds: PATIENCE_MILLISECONDS,
  });
}

const COPY = '{"kvHandle":"h","created":3}';

/** Text of an answer to the order of a copy. */
function copyAnswer(status: number, ...headers: string[]): string {
  const [, ...framing] = jsonHead(COPY);
  return text([`HTTP/1.1 ${status} Any`, ...headers, ...framing], COPY);
}

// Guards against a stream that goes on from a copy that was not made, or from memory that is not kept.
for (const [title, answer, isFinal] of [
  ['404', copyAnswer(404), true],
  ['409', copyAnswer(409), true],
  ['421', copyAnswer(421), true],
  ['500', copyAnswer(500), true],
  ['202', copyAnswer(202), true],
  ['503 to an order that does not stop the run', copyAnswer(503), false],
  [
    '200 that says that nothing was done',
    copyAnswer(200, 'X-Rhubarbvane-Not-Executed: 1'),
    true,
  ],
  [
    '200 for this run and another one',
    copyAnswer(
      200,
      'X-Rhubarbvane-Attempt-Id: a',
      'X-Rhubarbvane-Attempt-Id: other',
    ),
    true,
  ],
] as const) {
  test(`replica: an answer to a copy with a handle and ${title} confirms nothing`, async t => {
    const copy = await orderCopy(t, answer, isFinal);
    t.is(copy._unsafeUnwrapErr().handle, undefined);
  });
}

test('replica: an answer to a copy that names its run, and one of a run that stopped, have handles', async t => {
  const named = copyAnswer(200, 'X-Rhubarbvane-Attempt-Id: a');
  const copy = await orderCopy(t, named, false);
  t.is(copy._unsafeUnwrap().handle, 'h');
  const stopped = await orderCopy(t, copyAnswer(503), true);
  t.deepEqual(stopped._unsafeUnwrapErr(), {
    error: instanceClient.CopyError.NoRoom,
    handle: 'h',
  });
});

test('replica: an answer to a copy whose end comes too late confirms nothing', async t => {
  const answer = copyAnswer(200);
  let closed: Promise<unknown> | undefined;
  const instance = await listen(t, socket => {
    closed = new Promise(resolve => socket.once('close', resolve));
    socket.write(answer.slice(0, -1));
  });
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  const copy = await client.copyRun(instance, {
    attemptId: 'a',
    target: instance,
    isFinal: false,
    timeoutMilliseconds: 300,
  });
  t.deepEqual(copy._unsafeUnwrapErr(), {
    error: CopyError.NoAnswer,
    handle: undefined,
  });
  await closed;
});
