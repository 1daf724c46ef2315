/** Refusals: which answers prove that a request was not run. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceHttpClient from '../../src/platform/instance_http_client';
import * as rawInstance from '../support/raw_instance';

const test = ava.default;
const {SendError} = instanceClient;
const {ATTEMPT, SUCCESS, listen, receive, request, text} = rawInstance;
const OTHER_ATTEMPT = '00000000000000a2';

const NOT_RUN = 'X-Rhubarbvane-Not-Executed: 1';
const OWN_ID = `X-Rhubarbvane-Attempt-Id: ${ATTEMPT}`;
const OTHER_ID = `X-Rhubarbvane-Attempt-Id: ${OTHER_ATTEMPT}`;
const WHOLE = text([...SUCCESS, 'Content-Length: 3'], 'one');

/** Text of an answer without a body. */
function emptyAnswer(status: number, ...headers: string[]): string {
  return text([`HTTP/1.1 ${status} Any`, ...headers, 'Content-Length: 0']);
}

function createClient(
  t: ava.ExecutionContext,
): instanceHttpClient.InstanceHttpClient {
  const client = new instanceHttpClient.InstanceHttpClient();
  t.teardown(() => client.dispose());
  return client;
}

/** What an answer proves of a request. */
interface Proof {
  readonly error?: instanceClient.SendError;
  readonly status?: number;
  readonly isNotExecuted?: boolean;
}

async function proofOf(exchange: instanceClient.Exchange): Promise<Proof> {
  const result = await exchange.response;
  if (result.isErr()) {
    return {error: result.error};
  }
  const {status, isNotExecuted} = result.value;
  await receive(exchange);
  return {status, isNotExecuted};
}

/** Sends a request, and another one on the same connection. */
async function sendOnKept(
  t: ava.ExecutionContext,
  second: string,
): Promise<Proof> {
  let first: net.Socket | undefined;
  let isKept = false;
  const instance = await listen(t, socket => {
    if (first === undefined) {
      first = socket;
      socket.write(WHOLE);
      return;
    }
    isKept = socket === first;
    socket.write(second);
  });
  const client = createClient(t);
  await receive(client.send(instance, request()));
  const proof = await proofOf(client.send(instance, request()));
  t.true(isKept);
  return proof;
}

/** Sends a request on a new connection. */
async function sendOnNew(
  t: ava.ExecutionContext,
  answer: string,
): Promise<Proof> {
  const instance = await listen(t, socket => socket.write(answer));
  return proofOf(createClient(t).send(instance, request()));
}

for (const status of [400, 421, 429, 503]) {
  const refusal = emptyAnswer(status, NOT_RUN);
  const named = emptyAnswer(status, NOT_RUN, OWN_ID);

  test(`refusal: ${status} with the attempt's id is proof on a new and on a kept connection`, async t => {
    const expected = {status, isNotExecuted: true};
    t.deepEqual(await sendOnNew(t, named), expected);
    t.deepEqual(await sendOnKept(t, named), expected);
  });

  test(`refusal: ${status} without an id is proof on a new connection`, async t => {
    const proof = await sendOnNew(t, refusal);
    t.deepEqual(proof, {status, isNotExecuted: true});
  });

  // Guards against an answer to an earlier request, or to none, that crosses this one, which the instance may run.
  test(`refusal: ${status} without an id is no proof on a kept connection`, async t => {
    const proof = await sendOnKept(t, refusal);
    t.deepEqual(proof, {error: SendError.WrongAnswer});
  });
}

test('refusal: 421 without the statement is proof on a new connection, and with the id', async t => {
  const expected = {status: 421, isNotExecuted: true};
  t.deepEqual(await sendOnNew(t, emptyAnswer(421)), expected);
  t.deepEqual(await sendOnKept(t, emptyAnswer(421, OWN_ID)), expected);
});

for (const [title, headers] of [
  ['another id', [OTHER_ID]],
  ['the id and another one', [OWN_ID, OTHER_ID]],
  ['another id and then the id', [OTHER_ID, OWN_ID]],
] as const) {
  test(`refusal: one with ${title} is no proof`, async t => {
    const refusal = emptyAnswer(503, NOT_RUN, ...headers);
    const expected = {error: SendError.WrongAnswer};
    t.deepEqual(await sendOnNew(t, refusal), expected);
    t.deepEqual(await sendOnKept(t, refusal), expected);
  });
}

test('refusal: the statement given twice is one statement', async t => {
  const refusal = emptyAnswer(503, NOT_RUN, NOT_RUN, OWN_ID);
  const proof = await sendOnNew(t, refusal);
  t.deepEqual(proof, {status: 503, isNotExecuted: true});
});

// Guards against a connection that the instance closes as idle while a request is on its way.
for (const status of [408, 421, 503]) {
  test(`refusal: ${status} of an idle connection that crosses a request is no proof`, async t => {
    const answer = emptyAnswer(status, 'Connection: close');
    const proof = await sendOnKept(t, answer);
    t.deepEqual(proof, {error: SendError.WrongAnswer});
  });
}

// Instances refuse with other statuses; with these an instance that ran the request answers.
for (const status of [200, 206, 404, 500, 502, 504]) {
  test(`refusal: the statement on ${status} is no proof`, async t => {
    const stamp = 'X-Rhubarbvane-Server-Stamp: s';
    const answer = emptyAnswer(status, NOT_RUN, OWN_ID, stamp);
    const proof = await sendOnNew(t, answer);
    t.deepEqual(proof, {status, isNotExecuted: false});
  });
}

test('refusal: the statement on an interim answer is no proof', async t => {
  const interim = text(['HTTP/1.1 103 Early Hints', NOT_RUN, OWN_ID]);
  const proof = await sendOnNew(t, interim + '\r\n' + WHOLE);
  t.deepEqual(proof, {status: 200, isNotExecuted: false});
});

test('refusal: a change of protocol is no proof', async t => {
  const answer = text([
    'HTTP/1.1 101 Switching Protocols',
    'Connection: upgrade',
    'Upgrade: other',
    NOT_RUN,
    OWN_ID,
  ]);
  const proof = await sendOnNew(t, answer + '\r\n');
  t.deepEqual(proof, {error: SendError.ConnectionLost});
});

test('refusal: a head that is cut is no proof', async t => {
  const refusal = emptyAnswer(503, NOT_RUN, OWN_ID);
  const instance = await listen(t, socket => socket.end(refusal.slice(0, -2)));
  const proof = await proofOf(createClient(t).send(instance, request()));
  t.deepEqual(proof, {error: SendError.ConnectionLost});
});

test('refusal: an answer behind it is not taken for that to the next request', async t => {
  const refusal = emptyAnswer(503, NOT_RUN, OWN_ID);
  const two = WHOLE.replace('one', 'two');
  const instance = await listen(t, (socket, count) =>
    socket.write(count === 1 ? refusal + WHOLE : two),
  );
  const client = createClient(t);
  const first = await proofOf(client.send(instance, request()));
  t.deepEqual(first, {status: 503, isNotExecuted: true});
  const second = await receive(client.send(instance, request()));
  t.deepEqual(second, {status: 200, body: 'two'});
});

/** An instance that refuses its first request before it has read it, and reads on when told to. */
async function listenEarly(t: ava.ExecutionContext, bodyLength: number) {
  let first: net.Socket | undefined;
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    if (first === undefined) {
      first = socket;
      socket.write(emptyAnswer(503, NOT_RUN, OWN_ID));
    } else {
      socket.on('data', () => socket.write(WHOLE));
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const {port} = server.address() as net.AddressInfo;

  /** Resolves when the body was read, or its connection has ended; bytes behind the body are collected. */
  const following: string[] = [];
  const readOn = () =>
    new Promise<void>(resolve => {
      let left: number | undefined;
      first!.once('close', () => resolve());
      first!.on('data', chunk => {
        const headLength =
          left === undefined ? chunk.indexOf('\r\n\r\n') + 4 : 0;
        const part = chunk.subarray(headLength);
        left = (left ?? bodyLength) - part.length;
        if (left < 0) {
          following.push(part.subarray(left).toString('latin1'));
          left = 0;
          first!.write(WHOLE);
        }
        if (left === 0) {
          resolve();
        }
      });
    });
  return {instance: rawInstance.instanceAt(port), following, readOn};
}

test('refusal: one that arrives before its long request is written is proof, and the rest of that is written', async t => {
  // More than the buffers of a connection hold.
  const body = Buffer.alloc(32 * 1024 * 1024, 'b');
  const {instance, following, readOn} = await listenEarly(t, body.length);
  const client = createClient(t);
  const {caller, ...rest} = request();
  const long = {...rest, caller: {...caller, method: 'POST'}, body: [body]};
  const proof = await proofOf(client.send(instance, long));
  t.deepEqual(proof, {status: 503, isNotExecuted: true});
  await readOn();
  const next = await receive(client.send(instance, request()));
  t.deepEqual(next, {status: 200, body: 'one'});
  // Nothing but another request may follow the bytes of the body.
  t.regex(following.join(''), /^(?:GET \/a\/b|$)/);
});
