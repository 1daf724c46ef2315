/** What callers see of the limits on what they make a gateway hold, and what callers within them get in calm. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, HOST, KEY} = testGateway;

const MAX_BODY_BYTES = 600_000;
const OTHER_KEY = 'key-two';
const HOSTED = `Host: ${HOST}\r\nX-Rhubarbvane-Deadline-Ms: 20000\r\n`;

/** Answers with the body that arrived. */
const echo: replicaStandin.ReplicaHandler = (request, response) => {
  response.writeHead(200, replicaStandin.answerHeaders(request));
  response.end(request.body);
};

async function start(
  t: ava.ExecutionContext,
  memoryMegabytes = 200,
  handler = echo,
): Promise<testGateway.TestGateway> {
  return TestGateway.start(
    t,
    {'i-1': ['ledger', handler]},
    testGateway.configurationSpec(1, {
      limits: {...platformObjects.LIMITS, maxBodyBytes: MAX_BODY_BYTES},
      tenants: [
        {name: 'customer-one', apiKeys: [KEY]},
        {name: 'customer-two', apiKeys: [OTHER_KEY]},
      ],
    }),
    {settings: {limits: {memory_megabytes: memoryMegabytes}}},
  );
}

let attemptCount = 0;

function head(lines: string, key = KEY): string {
  const id = (++attemptCount).toString(16).padStart(16, 'a');
  return `POST /file/a HTTP/1.1\r\n${HOSTED}Authorization: Bearer ${key}\r\nX-Rhubarbvane-Attempt-Id: ${id}\r\n${lines}\r\n`;
}

/** Text of a length in which each place can be recognized. */
function pattern(length: number, tag: string): string {
  let text = '';
  for (let index = 0; text.length < length; index++) {
    text += `${tag}${index};`;
  }
  return text.slice(0, length);
}

/** A raw connection whose answers are collected. */
class Connection {
  received = '';
  readonly closed: Promise<void>;
  private readonly socket: net.Socket;

  constructor(t: ava.ExecutionContext, port: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.on(
      'data',
      chunk => (this.received += chunk.toString('latin1')),
    );
    this.socket.on('error', () => undefined);
    this.closed = new Promise(resolve =>
      this.socket.once('close', () => resolve()),
    );
    t.teardown(() => this.socket.destroy());
  }

  send(text: string): Promise<void> {
    return new Promise(resolve =>
      this.socket.write(text, 'latin1', () => resolve()),
    );
  }
}

/** Splits answers with lengths into their bodies. */
function bodies(received: string): string[] {
  const found: string[] = [];
  for (let at = 0; at < received.length;) {
    const end = received.indexOf('\r\n\r\n', at) + 4;
    const length = /content-length: (\d+)/i.exec(received.slice(at, end));
    if (end < 4 || length === null) {
      break;
    }
    at = end + Number(length[1]);
    found.push(received.slice(end, at));
  }
  return found;
}

test('caller limits: in calm a body of the largest size in chunks of one byte is served whole', async t => {
  const gateway = await start(t);
  const body = pattern(MAX_BODY_BYTES, 'p');
  const connection = new Connection(t, gateway.process.port);
  await connection.send(
    head('Transfer-Encoding: chunked\r\nConnection: close\r\n'),
  );
  const chunks = [...body].map(letter => `1\r\n${letter}\r\n`).join('');
  await connection.send(`${chunks}0\r\n\r\n`);
  await connection.closed;
  t.deepEqual(bodies(connection.received), [body]);
});

test('caller limits: in calm requests sent ahead are answered in order, each with its own body', async t => {
  const gateway = await start(t);
  const sizes = [0, 10, 700, 16_385, 70_000, 3, 200_000, 65_536, 1, 40_000];
  const sent = sizes.map((size, index) => pattern(size, `r${index}-`));
  const connection = new Connection(t, gateway.process.port);
  sent.forEach((body, index) => {
    const close = index === sent.length - 1 ? 'Connection: close\r\n' : '';
    void connection.send(head(`Content-Length: ${body.length}\r\n${close}`));
    void connection.send(body);
  });
  await connection.closed;
  t.deepEqual(bodies(connection.received), sent);
});

test('caller limits: bodies of concurrent requests, some repeated at another instance, arrive unchanged while memory is used again', async t => {
  const gateway = await start(t);
  await gateway.addReplica('i-2', 'ledger', echo);
  await gateway.until(() => gateway.process.state.instances.size === 2);
  let count = 0;
  gateway.replicas.get('i-1')!.handler = (request, response) =>
    ++count % 3 === 0
      ? replicaStandin.fail(request, response)
      : echo(request, response);
  for (let round = 0; round < 4; round++) {
    const sent = Array.from({length: 12}, (_, index) =>
      pattern(20_000 + 9_973 * index, `b${round}-${index}-`),
    );
    const answers = await Promise.all(
      sent.map(body => gateway.call('/read/a', {method: 'POST', body})),
    );
    answers.forEach((answer, index) => {
      t.is(answer.status, 200);
      t.true(answer.body === sent[index]);
    });
  }
});

test('caller limits: the body that has not grown for longest is refused with proof when there is no room, and does not run', async t => {
  // A twentieth of the memory is for bodies, half of that for one customer's large ones.
  const gateway = await start(t, 27);
  const part = 'b'.repeat(300_000);
  const lines = `Content-Length: ${MAX_BODY_BYTES}\r\n`;
  const [stalled, growing] = [KEY, KEY].map(key => {
    const connection = new Connection(t, gateway.process.port);
    void connection.send(head(lines, key) + part);
    return connection;
  });
  await growing.send(part.slice(1));
  await stalled.closed;
  t.regex(stalled.received, /^HTTP\/1\.1 503 /);
  t.regex(stalled.received, /\r\nRhubarbvane-Work: not-run\r\n/);
  t.regex(stalled.received, /\r\nRetry-After: 1\.\d\d\r\n/);
  t.regex(stalled.received, /\r\nConnection: close\r\n/);
  await growing.send('e');
  await gateway.until(() => growing.received.includes('200 OK'));
  t.is(gateway.requestCount, 1);
});

test('caller limits: beside bodies that fill the memory, a small body and one of another customer are served', async t => {
  const gateway = await start(t, 30);
  for (let index = 0; index < 8; index++) {
    const crowd = new Connection(t, gateway.process.port);
    const lines = `Content-Length: ${MAX_BODY_BYTES}\r\n`;
    void crowd.send(head(lines) + 'c'.repeat(MAX_BODY_BYTES - 1));
  }
  const small = await gateway.call('/file/small', {method: 'POST', body: 's'});
  t.is(small.status, 200);
  const body = pattern(MAX_BODY_BYTES, 'o');
  const large = await gateway.call('/file/large', {
    method: 'POST',
    body,
    headers: {Authorization: `Bearer ${OTHER_KEY}`},
  });
  t.is(large.status, 200);
  t.true(large.body === body);
});

test('caller limits: a body that is declared larger than the limit is refused before it is read', async t => {
  const gateway = await start(t);
  const connection = new Connection(t, gateway.process.port);
  await connection.send(head(`Content-Length: ${MAX_BODY_BYTES + 1}\r\n`));
  await connection.closed;
  t.regex(connection.received, /^HTTP\/1\.1 413 /);
  t.is(gateway.requestCount, 0);
});
