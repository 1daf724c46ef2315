/**
 * Malformed and hostile requests over raw sockets: none of them reaches a
 * replica as another request, and no caller gets an answer that is not its own.
 */
import * as net from 'node:net';
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, HOST, KEY} = testGateway;
const SEED = 20_261_204;

const HEAD = `Host: ${HOST}\r\nAuthorization: Bearer ${KEY}\r\nX-Rhubarbvane-Attempt-Id: 00000000000000aa\r\nX-Rhubarbvane-Deadline-Ms: 2000\r\n`;

/** Answers with the method, the target and the body that arrived. */
const echo: replicaStandin.ReplicaHandler = (request, response) => {
  response.writeHead(200, replicaStandin.answerHeaders(request));
  response.end(`${request.method} ${request.url} [${request.body}]`);
};

/** Sends the parts one after the other and collects the answer until the connection closes. */
function exchange(port: number, parts: readonly string[]): Promise<string> {
  return new Promise(resolve => {
    const socket = net.connect(port, '127.0.0.1');
    socket.setNoDelay(true);
    let received = '';
    socket.on('data', chunk => (received += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.once('close', () => resolve(received));
    const sendNext = (index: number) => {
      if (index >= parts.length || socket.destroyed) {
        return;
      }
      socket.write(Buffer.from(parts[index], 'latin1'), () =>
        setImmediate(() => sendNext(index + 1)),
      );
    };
    sendNext(0);
  });
}

function statuses(received: string): number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(match =>
    Number(match[1]),
  );
}

interface HostileRequest {
  readonly title: string;
  readonly bytes: string;
  /** Statuses of the answers, in order. */
  readonly answers: readonly number[];
  /** Bodies that replicas receive. */
  readonly seen: readonly string[];
}

const REFUSED: Pick<HostileRequest, 'answers' | 'seen'> = {
  answers: [400],
  seen: [],
};
const SMUGGLED = `POST /file/smuggled HTTP/1.1\r\n${HEAD}Content-Length: 0\r\n\r\n`;

const HOSTILE: readonly HostileRequest[] = [
  {
    title: 'two lengths that differ',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nContent-Length: 40\r\n\r\nabc${SMUGGLED}`,
    ...REFUSED,
  },
  {
    title: 'two lengths that agree',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`,
    ...REFUSED,
  },
  {
    title: 'a length and chunks',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${SMUGGLED}`,
    ...REFUSED,
  },
  {
    title: 'an encoding that hides the chunks',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n${SMUGGLED}`,
    ...REFUSED,
  },
  {
    title: 'chunked encoding that is not the last one',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n${SMUGGLED}`,
    ...REFUSED,
  },
  {
    title: 'a length that is negative',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: -1\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'a length with a sign',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: +3\r\n\r\nabc`,
    ...REFUSED,
  },
  {
    title: 'a chunk size that is not a number',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'a space before the colon',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length : 3\r\n\r\nabc`,
    ...REFUSED,
  },
  {
    title: 'a folded header',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}X-One: a\r\n b\r\nContent-Length: 0\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'two hosts',
    bytes: `POST /file/a HTTP/1.1\r\nHost: other.example\r\n${HEAD}Content-Length: 0\r\nConnection: close\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'no host',
    bytes: `POST /file/a HTTP/1.1\r\nAuthorization: Bearer ${KEY}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'a method with a control character',
    bytes: `PO\x01ST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 0\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'a null byte in a header',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}X-One: a\x00b\r\nContent-Length: 0\r\n\r\n`,
    ...REFUSED,
  },
  {
    title: 'two requests at once are answered in order',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 3\r\n\r\nonePOST /file/b HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nConnection: close\r\n\r\ntwo`,
    answers: [200, 200],
    seen: ['one', 'two'],
  },
  {
    title: 'garbage after a request is not answered in place of the request',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 3\r\n\r\none\x01\x02 garbage\r\n\r\n`,
    answers: [],
    // The connection is closed before the request is forwarded.
    seen: [],
  },
  {
    title: 'a request hidden in the body of another is its body',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Connection: close\r\nContent-Length: ${SMUGGLED.length}\r\n\r\n${SMUGGLED}`,
    answers: [200],
    seen: [SMUGGLED],
  },
  {
    title: 'chunks with extensions and trailers yield only their data',
    bytes: `POST /file/a HTTP/1.1\r\n${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n`,
    answers: [200],
    seen: ['abcde'],
  },
];

for (const {title, bytes, answers, seen} of HOSTILE) {
  test(`hostile: ${title}`, async t => {
    const gateway = await TestGateway.start(t, {'i-1': ['ledger', echo]});
    const received = await exchange(gateway.process.port, [bytes]);
    t.deepEqual(statuses(received), [...answers]);
    const replica = gateway.replicas.get('i-1')!;
    t.deepEqual(
      replica.requests.map(request => request.body),
      [...seen],
    );
  });
}

test('hostile: headers that only the system may set and those named in Connection are not forwarded', async t => {
  const gateway = await TestGateway.start(t, {'i-1': ['ledger', echo]});
  await exchange(gateway.process.port, [
    `POST /file/a HTTP/1.1\r\n${HEAD}Connection: close, X-Private\r\nX-Private: 1\r\nX-Rhubarbvane-Tenant: other\r\nX-Rhubarbvane-Kv-Hold: h\r\nX-Rhubarbvane-Pin-Ms: 9\r\nX-Rhubarbvane-Kv-Backup: 10.0.0.1:1\r\nKv-From: 10.0.0.1:1/h\r\nKv-Fetch: 10.0.0.1:1\r\nX-Rhubarbvane-Expect-Replica: i-9\r\nX-Rhubarbvane-Request-Urgency: 0\r\nContent-Length: 0\r\n\r\n`,
  ]);
  const [{headers}] = gateway.replicas.get('i-1')!.requests;
  t.is(headers['x-rhubarbvane-tenant'], 'customer-one');
  t.is(headers['x-rhubarbvane-expect-replica'], 'i-1');
  for (const name of [
    'x-private',
    'x-rhubarbvane-kv-hold',
    'x-rhubarbvane-pin-ms',
    'x-rhubarbvane-kv-backup',
    'kv-from',
    'kv-fetch',
    'x-rhubarbvane-request-urgency',
    'authorization',
  ]) {
    t.is(headers[name], undefined, name);
  }
});

test('hostile: a request split at any byte is the same request', async t => {
  const gateway = await TestGateway.start(t, {'i-1': ['ledger', echo]});
  const bytes = `POST /file/a HTTP/1.1\r\n${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
  const whole = await exchange(gateway.process.port, [bytes]);
  t.regex(whole, /POST \/file\/a \[abc\]/);
  // In groups, since all at once would open more connections than a test needs.
  for (let from = 1; from < bytes.length; from += 16) {
    const splits = Array.from(
      {length: Math.min(16, bytes.length - from)},
      (_, index) => from + index,
    );
    const answers = await Promise.all(
      splits.map(at =>
        exchange(gateway.process.port, [bytes.slice(0, at), bytes.slice(at)]),
      ),
    );
    answers.forEach(received => t.regex(received, /POST \/file\/a \[abc\]/));
  }
});

test('hostile: a body that ends early reaches no replica', async t => {
  const gateway = await TestGateway.start(t, {'i-1': ['ledger', echo]});
  const socket = net.connect(gateway.process.port, '127.0.0.1');
  await new Promise(resolve =>
    socket.write(
      `POST /file/a HTTP/1.1\r\n${HEAD}Content-Length: 30\r\n\r\nhalf`,
      resolve,
    ),
  );
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('error', () => undefined);
  socket.destroy();
  await closed;
  const other = await gateway.call('/file/b', {method: 'POST', body: 'whole'});
  t.is(other.status, 200);
  t.deepEqual(
    gateway.replicas.get('i-1')!.requests.map(request => request.body),
    ['whole'],
  );
});

test('hostile: whatever the framing headers, a replica sees the bytes of the body or nothing', async t => {
  const gateway = await TestGateway.start(t, {'i-1': ['ledger', echo]});
  const replica = gateway.replicas.get('i-1')!;
  const framing = fastCheck.array(
    fastCheck.constantFrom(
      'Content-Length: 5',
      'Content-Length: 5, 5',
      'Content-Length: 05',
      'Content-Length: 0x5',
      'Content-Length:\t5',
      'Content-Length: 6',
      'Transfer-Encoding: chunked',
      'Transfer-Encoding: Chunked',
      'Transfer-Encoding: identity',
      'Transfer-Encoding: gzip, chunked',
      'Transfer-Encoding : chunked',
      'Transfer-Encoding:\x0bchunked',
      'Expect: 100-continue',
      'Upgrade: h2c',
    ),
    {maxLength: 3},
  );
  const body = fastCheck.constantFrom(
    'abcde',
    '5\r\nabcde\r\n0\r\n\r\n',
    '5\nabcde\n0\n\n',
    '00000005\r\nabcde\r\n0\r\n\r\n',
    `0\r\n\r\n${SMUGGLED}`,
  );
  await fastCheck.assert(
    fastCheck.asyncProperty(framing, body, async (headers, sent) => {
      const before = replica.requests.length;
      const lines = headers.map(line => `${line}\r\n`).join('');
      const request = `POST /file/a HTTP/1.1\r\n${HEAD}Connection: close\r\n${lines}\r\n${sent}`;
      const received = await new Promise<string>(resolve => {
        const socket = net.connect(gateway.process.port, '127.0.0.1');
        let text = '';
        socket.on('data', chunk => (text += chunk.toString('latin1')));
        socket.on('error', () => undefined);
        socket.once('close', () => resolve(text));
        // Ending the connection ends bodies that are shorter than announced.
        socket.end(Buffer.from(request, 'latin1'));
      });
      const seen = replica.requests.slice(before);
      const finals = statuses(received).filter(status => status >= 200);
      const isOwnBody = seen.every(
        each =>
          each.url === '/file/a' &&
          (each.body === '' ||
            each.body === 'abcde' ||
            sent.startsWith(each.body)),
      );
      return seen.length <= 1 && finals.length <= 1 && isOwnBody;
    }),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});
