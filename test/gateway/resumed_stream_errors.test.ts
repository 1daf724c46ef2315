/** Errors with which a replica answers a stream that began elsewhere: callers get no byte of them, and no complete answer. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {answerHeaders, events} = replicaStandin;
const DELIVERED = events(1, 3);
const ERROR = 'the engine is out of order';
/** Larger than one read of a socket. */
const LONG_ERROR = `${ERROR}\n\n`.repeat(10_000);

/** Answers with a status, a type of content and a body. */
function answer(
  status: number,
  type: string,
  body: string,
  headers: http.OutgoingHttpHeaders = {},
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    response.writeHead(status, {
      'Content-Type': type,
      ...answerHeaders(request),
      ...headers,
    });
    response.end(body);
  };
}

/** Writes bytes to the connection instead of an answer. */
function write(...parts: string[]): replicaStandin.ReplicaHandler {
  return (_, response) => {
    const socket = response.socket!;
    const [first, ...rest] = parts;
    socket.write(first, () =>
      setImmediate(() => rest.forEach(each => socket.write(each))),
    );
  };
}

const STREAM = 'text/event-stream';
const HEAD = 'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain';

const ERRORS: readonly (readonly [string, replicaStandin.ReplicaHandler])[] = [
  ['500 as a text', answer(500, 'text/plain', ERROR)],
  ['500 as a long text', answer(500, 'text/plain', LONG_ERROR)],
  ['500 as an event stream', answer(500, STREAM, `id: 4\ndata: ${ERROR}\n\n`)],
  [
    '503 that the request was not run',
    answer(503, 'text/plain', ERROR, {'X-Rhubarbvane-Not-Executed': '1'}),
  ],
  ['404 as JSON', answer(404, 'application/json', `{"error":"${ERROR}"}`)],
  ['200 with a text', answer(200, 'text/plain', `${ERROR}\n\n`)],
  ['200 with a long text', answer(200, 'text/plain', LONG_ERROR)],
  [
    '200 with an event without an id',
    answer(200, STREAM, `data: ${ERROR}\n\n`),
  ],
  [
    '200 with a named event without an id',
    answer(200, STREAM, `event: error\ndata: ${ERROR}\n\n`),
  ],
  [
    '200 with an event without an id after the next one',
    answer(200, STREAM, `id: 3\ndata: 3\n\nevent: error\ndata: ${ERROR}\n\n`),
  ],
  [
    "200 under another request's id",
    answer(200, STREAM, events(4, 6), {
      'X-Rhubarbvane-Attempt-Id': 'ffffffffffffffff',
    }),
  ],
  ['bytes that are no HTTP', write(`${ERROR}\n\nid: 4\ndata: 4\n\n`)],
  [
    '500 whose head comes in two parts',
    write(HEAD, `\r\nContent-Length: ${ERROR.length}\r\n\r\n${ERROR}`),
  ],
  [
    'an unfinished head of 500 before the connection ends',
    (request, response) => {
      write(HEAD)(request, response);
      setTimeout(() => response.socket?.end(), 20);
    },
  ],
];

for (const [title, error] of ERRORS) {
  test(`resumed stream: ${title} in place of the rest is not delivered, nor an end`, async t => {
    let count = 0;
    const replica: replicaStandin.ReplicaHandler = (request, response) => {
      if (count++ > 0) {
        error(request, response);
        return;
      }
      response.writeHead(200, {
        'Content-Type': STREAM,
        ...answerHeaders(request),
      });
      response.write(DELIVERED, () => response.socket!.resetAndDestroy());
    };
    const gateway = await testGateway.TestGateway.start(t, {
      'i-1': ['writers', replica],
      'i-2': ['writers', replica],
    });
    await gateway.until(() => gateway.process.state.instances.size === 2);
    const received = await gateway.call('/tag/a', {method: 'POST', body: 'p'});
    t.is(received.status, 200);
    t.is(received.body, DELIVERED);
    t.false(received.isComplete);
    t.true(count >= 2);
  });
}
