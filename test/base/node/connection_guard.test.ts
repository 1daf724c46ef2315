/** Connections of a server: which requests are handled, and what clients get if there is no room. */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as fakeTimers from '@sinonjs/fake-timers';
import * as ava from 'ava';
import * as connectionGuard from '../../../src/base/node/connection_guard';
import * as guardedConnection from '../../../src/base/node/guarded_connection';
import * as limitReporter from '../../../src/base/node/limit_reporter';

const test = ava.default;
const AMPLE_BYTES = 10_000_000;
const GET = 'GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n';

type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/** An act of a limit. */
interface Act {
  readonly limit: limitReporter.ClientLimit;
  readonly who: string;
  readonly usage: limitReporter.LimitUsage;
}

/** Listens with a guard; returns the port, the requests that were handled, and the acts of limits. */
async function listen(
  t: ava.ExecutionContext,
  handle: Handler,
  maxBytes = AMPLE_BYTES,
): Promise<{port: number; handled: http.ServerResponse[]; acts: Act[]}> {
  const server = http.createServer(connectionGuard.SERVER_OPTIONS);
  const handled: http.ServerResponse[] = [];
  const acts: Act[] = [];
  const guard = new connectionGuard.ConnectionGuard(
    server,
    {maxConnections: 100, maxBytes, maxKernelBytes: AMPLE_BYTES},
    {
      handle: (request, response) => {
        handled.push(response);
        handle(request, response);
      },
      refuse: (_, response) =>
        response.writeHead(503, {'Content-Length': 4}).end('full'),
    },
    (limit, who, usage) => acts.push({limit, who, usage}),
  );
  t.teardown(() => {
    guard.dispose();
    server.close();
    server.closeAllConnections();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {port: (server.address() as net.AddressInfo).port, handled, acts};
}

/** A connection that collects what it receives. */
class Client {
  received = '';
  error: string | undefined;
  isClosed = false;
  private readonly socket: net.Socket;

  constructor(t: ava.ExecutionContext, port: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.setNoDelay(true);
    this.socket.on('data', chunk => (this.received += chunk.toString()));
    this.socket.on('error', error => (this.error = error.message));
    this.socket.once('close', () => (this.isClosed = true));
    t.teardown(() => this.socket.destroy());
  }

  write(text: string): void {
    this.socket.write(text);
  }
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

for (const [title, headers] of [
  ['that closes its connection', {Connection: 'close', 'Content-Length': 2}],
  ['after which the connection is kept', {'Content-Length': 2}],
] as const) {
  test(`connection guard: a request that was sent ahead of an answer ${title} is handled only if it can be answered`, async t => {
    const isKept = !('Connection' in headers);
    const {port, handled} = await listen(t, (_, response) => {
      // In the phase of the event loop in which answers of instances arrive.
      const answer = () => response.writeHead(200, headers).end('ok');
      setTimeout(() => fs.stat('.', answer), 50);
    });
    const client = new Client(t, port);
    client.write(GET + GET);
    await until(() => (isKept ? handled.length === 2 : client.isClosed));
    await new Promise(resolve => setTimeout(resolve, 100));
    t.is(handled.length, isKept ? 2 : 1);
    t.is(client.received.split('HTTP/1.1 200').length - 1, handled.length);
    t.true(handled.every(response => response.destroyed));
  });
}

test('connection guard: a client for whose request there is no room receives the refusal whole, and its connection is usable', async t => {
  const waiting: http.ServerResponse[] = [];
  const {port} = await listen(
    t,
    (_, response) => void waiting.push(response),
    // Room for two requests and a third connection.
    60_000,
  );
  const first = new Client(t, port);
  const second = new Client(t, port);
  const third = new Client(t, port);
  first.write(GET);
  second.write(GET);
  await until(() => waiting.length === 2);
  third.write(GET);
  await until(() => third.received.includes('full') || third.isClosed);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.is(third.error, undefined);
  t.regex(third.received, /^HTTP\/1.1 503 [^]*full$/);
  t.false(third.isClosed);
  waiting.forEach(response => response.end('done'));
  await until(() => first.received.includes('done'));
  third.write(GET);
  await until(() => waiting.length === 3 || third.isClosed);
  t.false(third.isClosed);
});

test('connection guard: the act of a limit tells how much was held, and whether a request was cut', async t => {
  const {port, handled, acts} = await listen(t, () => undefined, 55_000);
  const first = new Client(t, port);
  const second = new Client(t, port);
  first.write(GET);
  second.write(GET);
  await until(() => handled.length === 2);
  const third = new Client(t, port);
  third.write(GET);
  await until(() => acts.length === 1);
  const {ClientLimit, LimitAct} = limitReporter;
  t.like(acts[0], {
    limit: ClientLimit.Connections,
    usage: {
      act: LimitAct.Refused,
      totalBytes: 45_056,
      maxBytes: 55_000,
      isRequestCut: false,
    },
  });
  const {socket} = handled[0].req;
  // The start of a request that does not come, for which there is no room.
  first.write('GET /a HTTP/1.1\r\nX-Long: ' + 'x'.repeat(15_000));
  await until(() => acts.length === 2);
  t.like(acts[1].usage, {act: LimitAct.Closed, isRequestCut: true});
  t.is(limitReporter.limitThatClosed(socket), ClientLimit.Connections);
});

test('limit reporter: a line counts the requests that were cut since the previous one', t => {
  const clock = fakeTimers.install({now: 0});
  const lines: object[] = [];
  const {ClientLimit, LimitAct} = limitReporter;
  const reporter = new limitReporter.LimitReporter(
    () => undefined,
    (limit, occurrences) =>
      lines.push(limitReporter.describeOccurrences(limit, occurrences)),
  );
  const usage = {
    act: LimitAct.Closed,
    bytes: 3,
    totalBytes: 5,
    maxBytes: 4,
    isRequestCut: true,
  };
  reporter.record(ClientLimit.Kernel, 'a', usage);
  reporter.record(ClientLimit.Kernel, 'b', usage);
  reporter.record(ClientLimit.Kernel, 'c', {...usage, isRequestCut: false});
  clock.tick(10_000);
  reporter.dispose();
  clock.uninstall();
  const fields = {limit: 'kernel', act: 'closed', bytes: 3, total_bytes: 5};
  t.is(lines.length, 2);
  t.like(lines[0], {...fields, count: 1, last: 'a', cut_requests: 1});
  t.like(lines[1], {...fields, count: 2, last: 'c', cut_requests: 1});
});

test('connection guard: a connection is read on after an error of a listener', t => {
  const socket = new net.Socket();
  const parsed: string[] = [];
  socket.on('data', (chunk: Buffer) => {
    parsed.push(chunk.toString());
    if (parsed.length === 1) {
      throw new Error('fault of a listener');
    }
  });
  const guard = new connectionGuard.ConnectionGuard(
    http.createServer(connectionGuard.SERVER_OPTIONS),
    {maxConnections: 1, maxBytes: AMPLE_BYTES, maxKernelBytes: AMPLE_BYTES},
    {handle: () => undefined, refuse: () => undefined},
    () => undefined,
  );
  const connection = new guardedConnection.GuardedConnection(socket, guard);
  t.true(connection.open());
  t.throws(() => socket.emit('data', Buffer.from('one')));
  socket.emit('data', Buffer.from('two'));
  t.deepEqual(parsed, ['one', 'two']);
  guard.dispose();
  socket.destroy();
});
