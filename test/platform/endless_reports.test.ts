/** Calls of the system's own whose answers do not end. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as instanceHttpClient from '../../src/platform/instance_http_client';
import * as rawInstance from '../support/raw_instance';

const test = ava.default;
const {text, listen} = rawInstance;
/** Longer than these calls take on a busy machine, in milliseconds. */
const PATIENCE_MILLISECONDS = 30_000;

/** Bytes that an instance sends beyond the head of an answer until its connection is closed. */
interface EndlessCase {
  readonly title: string;
  readonly head: string;
  readonly block: string;
}

const BLOCK = 'x'.repeat(65_536);
const BAD_HEAD = text(['HTTP/1.1 200 OK', 'Content-Type: application/json']);
const ENDLESS: readonly EndlessCase[] = [
  {title: 'body without a length', head: BAD_HEAD, block: BLOCK},
  {
    title: 'body in chunks',
    head: text(['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']),
    block: `10000\r\n${BLOCK}\r\n`,
  },
  {
    title: 'body in chunks of one byte',
    head: text(['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']),
    block: '1\r\nx\r\n'.repeat(10_000),
  },
  {
    title: 'head',
    head: 'HTTP/1.1 200 OK\r\n',
    block: 'X-One: y\r\n'.repeat(500),
  },
  {
    title: 'row of interim answers',
    head: '',
    block: text(['HTTP/1.1 103 Early Hints', 'X-One: y']).repeat(50),
  },
  {
    title: 'trailer',
    head: text(
      ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked'],
      '2\r\n{}\r\n0\r\n',
    ),
    block: 'X-One: y\r\n'.repeat(500),
  },
];

/** More than any answer may have, so that a test without a bound fails rather than runs on. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;

/** Sends blocks to the socket until it is closed or the maximum is reached; resolves with the number of bytes. */
function sendEndlessly(
  socket: net.Socket,
  {head, block}: EndlessCase,
): Promise<number> {
  let sent = head.length;
  socket.write(head);
  return new Promise(resolve => {
    const timer = setInterval(() => {
      while (socket.writableLength < 1_000_000 && sent < MAX_SENT_BYTES) {
        socket.write(block);
        sent += block.length;
      }
      if (sent >= MAX_SENT_BYTES) {
        socket.destroy();
      }
    }, 1);
    socket.once('close', () => {
      clearInterval(timer);
      resolve(sent);
    });
  });
}

// Guards against answers to calls of the system's own that are collected without a bound.
for (const each of ENDLESS) {
  test(`replica: a report with an endless ${each.title} is no report, and its connection is closed`, async t => {
    let sent: Promise<number> | undefined;
    const instance = await listen(t, socket => {
      sent = sendEndlessly(socket, each);
    });
    const client = new instanceHttpClient.InstanceHttpClient(
      () => undefined,
      PATIENCE_MILLISECONDS,
    );
    t.teardown(() => client.dispose());
    t.is(await client.readReport(instance), undefined);
    t.true((await sent!) < MAX_SENT_BYTES);
  });
}
