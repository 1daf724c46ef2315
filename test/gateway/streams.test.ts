/** Streams to callers while replicas leave, disconnect or stop. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway} = testGateway;
const {events, answerHeaders, reset} = replicaStandin;
const LAST = 6;

/** Streams the events after the caller's last one up to `until`, then calls `end`. */
function streamUntil(
  until: number,
  end: (response: Parameters<replicaStandin.ReplicaHandler>[1]) => void,
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, answerHeaders(request));
    response.write(events(from, until), () => end(response));
  };
}

const breakOff = streamUntil(3, response => {
  response.write('id: 4\nda', () => response.socket!.resetAndDestroy());
});
const finish = streamUntil(LAST, response => response.end());

/** Breaks off the first stream; later requests finish it. */
function breakFirst(first = breakOff): replicaStandin.ReplicaHandler {
  let count = 0;
  return (request, response) =>
    (count++ === 0 ? first : finish)(request, response);
}

/** Ends in order inside event 4, by the end of the connection or by a last chunk. */
function endInsideEvent(isChunked: boolean): replicaStandin.ReplicaHandler {
  return (request, response) => {
    response.useChunkedEncodingByDefault = isChunked;
    streamUntil(3, ended => ended.end('id: 4\nda'))(request, response);
  };
}

/** Closes the connection in order after the headers of an answer without length or chunks. */
const closeBeforeEvents: replicaStandin.ReplicaHandler = (
  request,
  response,
) => {
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, answerHeaders(request)).end();
};

test('stream: a whole stream is delivered unchanged', async t => {
  const gateway = await TestGateway.start(t, {'i-1': ['writers', finish]});
  const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.true(answer.isComplete);
  t.is(answer.body, events(1, LAST));
  t.is(answer.headers['x-rhubarbvane-server-stamp'], 'stamp');
});

test('stream: a resumable stream continues at another replica with no event missing or repeated', async t => {
  const behaviour = breakFirst();
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', behaviour],
    'i-2': ['writers', behaviour],
  });
  const answer = await gateway.call('/tag/a', {method: 'POST', body: 'p'});
  t.true(answer.isComplete);
  t.is(answer.body, events(1, LAST));
  t.is(gateway.requestCount, 2);
});

test('stream: a stream that may not be resumed ends visibly incomplete, with whole events only', async t => {
  const behaviour = breakFirst();
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', behaviour],
    'i-2': ['writers', behaviour],
  });
  const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.false(answer.isComplete);
  t.is(answer.body, events(1, 3));
  t.is(gateway.requestCount, 1);
});

test('stream: a request that is reset before its first event may have run and is not retried', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', reset],
    'i-2': ['writers', reset],
  });
  const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.is(answer.status, 502);
  t.is(answer.headers['rhubarbvane-work'], 'unknown');
  t.is(gateway.requestCount, 1);
});

test('stream: a stream that cannot be resumed by event id continues from its copy when its leaving replica disconnects', async t => {
  let source: replicaStandin.ReplicaStandin | undefined;
  let breakSource = () => undefined as void;
  const behaviour: replicaStandin.ReplicaHandler = (request, response) => {
    if (request.headers['kv-from'] !== undefined) {
      return finish(request, response);
    }
    const id = request.headers['x-rhubarbvane-expect-replica'] as string;
    source = gateway.replicas.get(id);
    response.writeHead(200, answerHeaders(request));
    response.write(events(1, 3));
    breakSource = () => response.socket!.resetAndDestroy();
  };
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', behaviour],
    'i-2': ['writers', behaviour],
  });
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const answered = gateway.call('/draft/a', {method: 'POST', body: 'p'});
  await gateway.until(() => source !== undefined);
  gateway.register(source!.id, 'writers', 'draining');
  await gateway.until(() => source!.copies.length > 0);
  // The first copy is used once its answer has arrived; a second copy shows that it has.
  await gateway.until(() => source!.copies.length > 1);
  breakSource();
  const answer = await answered;
  t.true(answer.isComplete);
  t.is(answer.body, events(1, LAST));
  const target = [...gateway.replicas.values()].find(each => each !== source)!;
  const [continued] = target.requests;
  t.is(continued.headers['last-event-id'], '3');
  t.regex(String(continued.headers['kv-from']), /^127\.0\.0\.1:\d+\/h\d+$/);
});

test('stream: events that do not continue those delivered are not appended to them', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'writers',
      (request, response) => {
        response.writeHead(200, answerHeaders(request));
        response.write(events(1, 2));
        response.end(events(4, 6));
      },
    ],
  });
  const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.false(answer.status === 200 && answer.isComplete);
  t.false(answer.body.includes('piece 4'));
});

test('stream: when a caller disconnects, its generation is cancelled', async t => {
  let isDropped = false;
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'writers',
      (request, response) => {
        response.writeHead(200, answerHeaders(request));
        response.write(events(1, 2));
        response.once('close', () => (isDropped = true));
      },
    ],
  });
  const request = gateway.send('/draft/a', {method: 'POST', body: 'p'});
  await new Promise(resolve => request.once('response', resolve));
  request.destroy();
  await gateway.until(() => isDropped);
  const [instance] = [...gateway.process.state.instances.all()];
  t.is(instance.failureRate, 0, 'the disconnect is no failure of the instance');
});

test('stream: a generation that finds no free memory in time is refused as not run', async t => {
  const gateway = await TestGateway.start(t, {'i-1': ['writers', finish]});
  const full: replicaStandin.ReplicaHandler = (request, response) => {
    response.writeHead(200, answerHeaders(request));
    response.write(events(1, 1));
  };
  gateway.replicas.get('i-1')!.handler = full;
  const big = {'X-Rhubarbvane-Token-Count': '33000,900'};
  gateway.send('/draft/a', {method: 'POST', body: 'p', headers: big});
  await gateway.until(() => gateway.requestCount === 1);
  const answer = await gateway.call('/draft/b', {
    method: 'POST',
    body: 'q',
    headers: {...big, 'X-Rhubarbvane-Deadline-Ms': '300'},
  });
  t.is(answer.status, 503);
  t.is(answer.headers['rhubarbvane-work'], 'not-run');
  t.is(gateway.requestCount, 1);
});

for (const isChunked of [false, true]) {
  const framing = isChunked ? 'in chunks' : 'without length or chunks';

  test(`stream: a stream ${framing} that ends inside an event does not reach its caller as complete`, async t => {
    const behaviour = breakFirst(endInsideEvent(isChunked));
    const gateway = await TestGateway.start(t, {
      'i-1': ['writers', behaviour],
      'i-2': ['writers', behaviour],
    });
    const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
    t.false(answer.isComplete);
    t.is(answer.body, events(1, 3));
  });

  test(`stream: a resumable stream ${framing} that ends inside an event continues at another replica`, async t => {
    const behaviour = breakFirst(endInsideEvent(isChunked));
    const gateway = await TestGateway.start(t, {
      'i-1': ['writers', behaviour],
      'i-2': ['writers', behaviour],
    });
    const answer = await gateway.call('/tag/a', {method: 'POST', body: 'p'});
    t.true(answer.isComplete);
    t.is(answer.body, events(1, LAST));
  });
}

test('stream: a whole stream without length or chunks is delivered as complete', async t => {
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'writers',
      (request, response) => {
        response.useChunkedEncodingByDefault = false;
        finish(request, response);
      },
    ],
  });
  const answer = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.true(answer.isComplete);
  t.is(answer.body, events(1, LAST));
});

test('stream: an end without length or chunks before the first event is not taken for a complete empty stream', async t => {
  const behaviour = breakFirst(closeBeforeEvents);
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', behaviour],
    'i-2': ['writers', behaviour],
  });
  const lost = await gateway.call('/draft/a', {method: 'POST', body: 'p'});
  t.is(lost.status, 502);
  t.is(lost.headers['rhubarbvane-work'], 'unknown');
});

test('stream: a resumable stream whose connection ends before the first event starts again elsewhere', async t => {
  const behaviour = breakFirst(closeBeforeEvents);
  const gateway = await TestGateway.start(t, {
    'i-1': ['writers', behaviour],
    'i-2': ['writers', behaviour],
  });
  const answer = await gateway.call('/tag/a', {method: 'POST', body: 'p'});
  t.true(answer.isComplete);
  t.is(answer.body, events(1, LAST));
});

test('stream: a stream broken off for a caller that cannot read chunks ends with a reset', async t => {
  let breakReplica = () => undefined as void;
  const gateway = await TestGateway.start(t, {
    'i-1': [
      'writers',
      streamUntil(3, response => {
        breakReplica = () => response.socket!.resetAndDestroy();
      }),
    ],
  });
  const socket = net.connect(gateway.process.port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += chunk.toString()));
  const ended = new Promise<string>(resolve => {
    socket.once('error', error => resolve(String(error)));
    socket.once('end', () => resolve('an orderly end'));
  });
  socket.write(
    `POST /draft/a HTTP/1.0\r\nHost: ${testGateway.HOST}\r\nAuthorization: Bearer ${testGateway.KEY}\r\nX-Rhubarbvane-Attempt-Id: 00000000000000ab\r\nX-Rhubarbvane-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n`,
  );
  // A reset that arrives together with data is reported as an orderly end.
  await gateway.until(() => received.includes('piece 3'));
  breakReplica();
  t.regex(await ended, /ECONNRESET/);
  t.notRegex(received, /transfer-encoding/i);
});
