/** Responses in unusual framing, and readers that stop and go on. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as ava from 'ava';
import * as clientAgent from '../../../src/base/node/client_agent';
import * as responseGuard from '../../../src/base/node/response_guard';

const test = ava.default;
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const UNTIL_CLOSE = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const CONTENT = Buffer.alloc(300_000, 'abcdefghijk').toString();
const LONG_MILLISECONDS = 20;

/** The content in chunks of the size, and the last chunk. */
function chunks(content: string, size: number): string {
  const parts: string[] = [];
  for (let at = 0; at < content.length; at += size) {
    const part = content.slice(at, at + size);
    parts.push(`${part.length.toString(16)}\r\n${part}\r\n`);
  }
  return parts.join('') + '0\r\n\r\n';
}

/** A server that answers each connection with the bytes, and then ends it if `isEnded` is set. */
class RawServer {
  readonly sockets: net.Socket[] = [];
  private readonly agent = new clientAgent.ClientAgent({keepAlive: true});

  private constructor(private readonly port: number) {}

  static async start(
    t: ava.ExecutionContext,
    answer: string,
    isEnded = false,
  ): Promise<RawServer> {
    const server = net.createServer(socket => {
      raw.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(answer);
        if (isEnded) {
          socket.end();
        }
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const raw = new RawServer((server.address() as net.AddressInfo).port);
    t.teardown(() => {
      raw.agent.destroy();
      raw.sockets.forEach(socket => socket.destroy());
      server.close();
    });
    return raw;
  }

  /** Sends a request; rejects if it gets no response. */
  open(): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
      const request = http.get({port: this.port, agent: this.agent});
      responseGuard.guard(request);
      request.once('response', resolve);
      request.once('error', reject);
    });
  }
}

/** Reads the response, and stops for a while after each chunk if `stops` is set. */
function readAll(
  response: http.IncomingMessage,
  stops: boolean,
): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    let nextStop = 0;
    response.on('data', chunk => {
      text += String(chunk);
      if (stops && text.length >= nextStop) {
        nextStop = text.length + 50_000;
        response.pause();
        setTimeout(() => response.resume(), LONG_MILLISECONDS);
      }
    });
    response.once('end', () => resolve(text));
    response.once('error', reject);
  });
}

const FRAMINGS = [
  {title: 'in one chunk', answer: CHUNKED + chunks(CONTENT, 300_000)},
  {title: 'in chunks of 300 bytes', answer: CHUNKED + chunks(CONTENT, 300)},
  {title: 'in chunks of 6 bytes', answer: CHUNKED + chunks(CONTENT, 6)},
  {
    title: 'with a length',
    answer: `HTTP/1.1 200 OK\r\nContent-Length: ${CONTENT.length}\r\n\r\n${CONTENT}`,
  },
  {title: 'until close', answer: UNTIL_CLOSE + CONTENT, isEnded: true},
];

for (const {title, answer, isEnded} of FRAMINGS) {
  for (const stops of [false, true]) {
    const reader = stops ? 'a reader that stops and goes on' : 'a reader';
    test(`responses: one ${title} reaches ${reader} whole`, async t => {
      const server = await RawServer.start(t, answer, isEnded);
      const response = await server.open();
      t.true((await readAll(response, stops)) === CONTENT);
    });
  }

  test(`responses: one ${title} reaches a reader that begins late whole`, async t => {
    const server = await RawServer.start(t, answer, isEnded);
    const response = await server.open();
    await new Promise(resolve => setTimeout(resolve, LONG_MILLISECONDS));
    t.true((await readAll(response, false)) === CONTENT);
  });

  test(`responses: one ${title} reaches a reader that pulls it whole`, async t => {
    const server = await RawServer.start(t, answer, isEnded);
    let text = '';
    for await (const chunk of await server.open()) {
      text += String(chunk);
      await new Promise(resolve => setImmediate(resolve));
    }
    t.true(text === CONTENT);
  });
}

test('responses: 10,000 bytes in chunks of one byte are no excess of framing', async t => {
  const content = CONTENT.slice(0, 10_000);
  const server = await RawServer.start(t, CHUNKED + chunks(content, 1));
  t.is(await readAll(await server.open(), false), content);
});

test('responses: a connection is used again after a response', async t => {
  const server = await RawServer.start(t, CHUNKED + chunks(CONTENT, 3_000));
  const [socket] = await answerTwice(server);
  t.is(server.sockets.length, 1);
  t.false(socket.destroyed);
});

/** Sends two requests one after the other, of which the server answers the second like the first. */
async function answerTwice(server: RawServer): Promise<net.Socket[]> {
  await readAll(await server.open(), false);
  const [socket] = server.sockets;
  socket.once('data', () => socket.write(CHUNKED + chunks('second', 2)));
  await new Promise(resolve => setImmediate(resolve));
  await readAll(await server.open(), false);
  return server.sockets;
}

for (const after of [
  '\r\n'.repeat(2_000),
  'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
]) {
  test(`responses: the connection of one that ${JSON.stringify(after.slice(0, 20))} follows is closed`, async t => {
    const answer = CHUNKED + chunks(CONTENT, 3_000) + after;
    const server = await RawServer.start(t, answer);
    const response = await server.open();
    const closed = new Promise(resolve =>
      server.sockets[0].once('close', resolve),
    );
    t.true((await readAll(response, false)) === CONTENT);
    await closed;
    t.pass();
  });
}

const EXCESSES = [
  {title: 'line ends before it', answer: '\r\n'.repeat(100_000)},
  {title: "zeros in a chunk's size", answer: CHUNKED + '0'.repeat(200_000)},
  {
    title: 'chunk extensions',
    answer: CHUNKED + `1;${'x'.repeat(100)}\r\nx\r\n`.repeat(2_000),
  },
  {title: 'chunks of one byte', answer: CHUNKED + '1\r\nx\r\n'.repeat(50_000)},
];

for (const {title, answer} of EXCESSES) {
  test(`responses: one with too many ${title} is broken off`, async t => {
    const server = await RawServer.start(t, answer);
    const reading = server.open().then(response => readAll(response, false));
    await t.throwsAsync(reading);
  });
}

test('responses: what follows one that took its whole turn is not read as the response to the next request', async t => {
  const content = CONTENT.slice(0, 4_000);
  const whole = `HTTP/1.1 200 OK\r\nContent-Length: ${content.length}\r\n\r\n${content}`;
  const stale = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale';
  const server = await RawServer.start(t, whole + stale);
  const readSlowly = async () => {
    const response = await server.open();
    response.on('data', () => {
      const startedAt = performance.now();
      while (performance.now() - startedAt < LONG_MILLISECONDS);
    });
    return readAll(response, false);
  };
  t.is(await readSlowly(), content);
  await new Promise(resolve => setImmediate(resolve));
  t.is(await readSlowly(), content);
  t.is(server.sockets.length, 2);
});
