/** Answers of instances that no caller can be given as they are: each request is answered all the same. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;

/** Statuses by which callers are promised that their request did not run. */
const PROMISE_STATUSES = [408, 421, 429, 503];

/** A request of a caller, and the service that its route leads to. */
interface Request {
  readonly method: string;
  readonly path: string;
  readonly service: string;
  /** Whether its route allows a second run. */
  readonly isRepeatable: boolean;
}

const REQUESTS: readonly Request[] = [
  {method: 'GET', path: '/read/a', service: 'ledger', isRepeatable: true},
  {method: 'POST', path: '/read/a', service: 'ledger', isRepeatable: true},
  {method: 'GET', path: '/file/a', service: 'ledger', isRepeatable: false},
  {method: 'POST', path: '/file/a', service: 'ledger', isRepeatable: false},
  {method: 'POST', path: '/draft/a', service: 'writers', isRepeatable: false},
  {method: 'POST', path: '/tag/a', service: 'writers', isRepeatable: true},
];

/** Answers with these bytes, in which ID stands for the attempt id, and closes the connection. */
function answerRaw(bytes: string): replicaStandin.ReplicaHandler {
  return (request, response) => {
    const id = String(request.headers['x-rhubarbvane-attempt-id']);
    response.socket!.end(Buffer.from(bytes.replace(/ID/g, id), 'latin1'));
  };
}

/** Answers a request that an instance of the service runs, whatever it is. */
const succeed = replicaStandin.succeed(replicaStandin.events(1, 2));

/** The bytes of an answer. */
function answer(
  statusLine: string,
  headers: readonly string[] = ['Content-Length: 2'],
  body = 'ok',
): string {
  return [
    statusLine,
    'X-Rhubarbvane-Attempt-Id: ID',
    'X-Rhubarbvane-Server-Stamp: s',
    ...headers,
    '',
    body,
  ].join('\r\n');
}

/** Answers that are none in the protocol. */
const NO_ANSWERS: Readonly<Record<string, string>> = {
  'status 000': answer('HTTP/1.1 000 Trouble'),
  'status 099': answer('HTTP/1.1 099 Trouble'),
  'status 600': answer('HTTP/1.1 600 Trouble'),
  'status 999': answer('HTTP/1.1 999 Trouble'),
  'status 101 without an upgrade': answer('HTTP/1.1 101 Switching'),
  'status 101 with an upgrade': answer('HTTP/1.1 101 Switching', [
    'Connection: Upgrade',
    'Upgrade: h2c',
  ]),
  'status 100 and no other': 'HTTP/1.1 100 Continue\r\n\r\n',
  'status 199 and no other': 'HTTP/1.1 199 Wait\r\n\r\n',
  'status 1000': answer('HTTP/1.1 1000 OK'),
  'another version': answer('HTTP/2.0 200 OK'),
  'a header name with a space': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'A b: c',
  ]),
  'no header name': answer('HTTP/1.1 200 OK', ['Content-Length: 2', ': c']),
  'NUL in a header': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'A: b\0c',
  ]),
  'DEL in a header': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'A: b\x7fc',
  ]),
  'two lengths': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'Content-Length: 3',
  ]),
  'a length and chunks': answer(
    'HTTP/1.1 200 OK',
    ['Content-Length: 2', 'Transfer-Encoding: chunked'],
    '2\r\nok\r\n0\r\n\r\n',
  ),
  'a length in the trailers': answer(
    'HTTP/1.1 200 OK',
    ['Transfer-Encoding: chunked'],
    '2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n',
  ),
};

/** Starts a gateway with these instances of the request's service. */
async function start(
  t: ava.ExecutionContext,
  {service}: Request,
  handlers: readonly replicaStandin.ReplicaHandler[],
): Promise<testGateway.TestGateway> {
  const gateway = await TestGateway.start(
    t,
    Object.fromEntries(
      handlers.map((handler, index) => [`i-${index}`, [service, handler]]),
    ),
  );
  await gateway.until(
    () => gateway.process.state.instances.size === handlers.length,
  );
  return gateway;
}

/** An agent that keeps one connection. */
function keptConnection(t: ava.ExecutionContext): http.Agent {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  t.teardown(() => agent.destroy());
  return agent;
}

for (const [title, bytes] of Object.entries(NO_ANSWERS)) {
  test(`answer delivery: ${title} is no answer, and its caller gets another`, async t => {
    for (const request of REQUESTS) {
      const {method, path, isRepeatable} = request;
      const name = `${method} ${path}`;
      const gateway = await start(t, request, [answerRaw(bytes)]);
      const agent = keptConnection(t);
      const first = await gateway.call(path, {method, agent});
      t.true(first.isComplete, name);
      t.is(first.status, 502, name);
      t.is(first.headers['x-rhubarbvane-server-stamp'], undefined, name);
      if (!isRepeatable) {
        t.is(gateway.requestCount, 1, name);
      }
      const second = await gateway.call('/none/a', {method, agent});
      t.is(second.status, 404, name);
    }
  });

  test(`answer delivery: after ${title} a request goes elsewhere if it may run again`, async t => {
    for (const request of REQUESTS) {
      const {method, path, isRepeatable} = request;
      const name = `${method} ${path}`;
      let isFirst = true;
      // Whichever instance is chosen first is the faulty one.
      const handler: replicaStandin.ReplicaHandler = (received, response) => {
        const answers = isFirst ? answerRaw(bytes) : succeed;
        isFirst = false;
        answers(received, response);
      };
      const gateway = await start(t, request, [handler, handler]);
      const agent = keptConnection(t);
      const received = await gateway.call(path, {method, agent});
      t.true(received.isComplete, name);
      t.is(received.status, isRepeatable ? 200 : 502, name);
      t.is(gateway.requestCount, isRepeatable ? 2 : 1, name);
    }
  });
}

/** Answers that are passed on, without what is not for the caller. */
const UNUSUAL_ANSWERS: Readonly<Record<string, string>> = {
  'a reason phrase outside of ASCII': answer('HTTP/1.1 200 Tr\xe9s b\xefen'),
  'a reason phrase that names a status': answer('HTTP/1.1 200 000'),
  'no reason phrase': answer('HTTP/1.1 200'),
  'a header value outside of ASCII': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'X-Name: Andr\xe9',
  ]),
  'an empty header value': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'X-Name:',
  ]),
  'headers of one connection': answer('HTTP/1.1 200 OK', [
    'Content-Length: 2',
    'Connection: close, X-Own, Upgrade',
    'X-Own: 1',
    'Keep-Alive: timeout=1',
    'Upgrade: h2c',
    'Proxy-Connection: close',
  ]),
  trailers: answer(
    'HTTP/1.1 200 OK',
    ['Transfer-Encoding: chunked', 'Trailer: X-Late'],
    '2\r\nok\r\n0\r\nX-Late: \xe9\r\n\r\n',
  ),
  'a status 100 before it': `HTTP/1.1 100 Continue\r\n\r\n${answer('HTTP/1.1 200 OK')}`,
  'a status 199 before it': `HTTP/1.1 199 Wait\r\n\r\n${answer('HTTP/1.1 200 OK')}`,
};

for (const [title, bytes] of Object.entries(UNUSUAL_ANSWERS)) {
  test(`answer delivery: an answer with ${title} reaches its caller`, async t => {
    for (const request of REQUESTS.filter(each => each.service === 'ledger')) {
      const {method, path} = request;
      const gateway = await start(t, request, [answerRaw(bytes)]);
      const agent = keptConnection(t);
      const first = await gateway.call(path, {method, agent});
      t.like(first, {status: 200, body: 'ok', isComplete: true});
      for (const name of ['x-own', 'upgrade', 'proxy-connection', 'trailer']) {
        t.is(first.headers[name], undefined, name);
      }
      const second = await gateway.call('/none/a', {method, agent});
      t.is(second.status, 404);
    }
  });
}

for (const status of [204, 304]) {
  test(`answer delivery: status ${status} reaches its caller without a length, and the bytes after it do not`, async t => {
    // A resumable stream is begun again instead.
    for (const request of REQUESTS.filter(({path}) => path !== '/tag/a')) {
      const {method, path} = request;
      const name = `${method} ${path}`;
      const bytes = answer(`HTTP/1.1 ${status} Nothing`);
      const gateway = await start(t, request, [answerRaw(bytes)]);
      const agent = keptConnection(t);
      const first = await gateway.call(path, {method, agent});
      t.like(first, {status, body: '', isComplete: true}, name);
      t.is(first.headers['content-length'], undefined, name);
      t.is(first.headers['transfer-encoding'], undefined, name);
      t.is(gateway.requestCount, 1, name);
      const second = await gateway.call('/none/a', {method, agent});
      t.is(second.status, 404, name);
    }
  });
}

test('answer delivery: no status outside of the protocol is a promise that a request did not run', async t => {
  for (const status of ['000', '099', '600', '999']) {
    for (const request of REQUESTS.filter(each => !each.isRepeatable)) {
      const {method, path} = request;
      const bytes = answer(`HTTP/1.1 ${status} Trouble`, [
        'Content-Length: 0',
        'X-Rhubarbvane-Not-Executed: 1',
      ]);
      const gateway = await start(t, request, [answerRaw(bytes), succeed]);
      const received = await gateway.call(path, {method});
      t.false(PROMISE_STATUSES.includes(received.status));
      t.is(gateway.requestCount, 1);
    }
  }
});
