/** Instances that send bytes without end, to many requests at the same time. */
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as crowd from '../support/crowd';
import * as endlessInstance from '../support/endless_instance';
import * as gatewayProgram from '../support/gateway_program';
import * as rawInstance from '../support/raw_instance';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const REQUESTS = 24;
const CALLS = '/endless-call/';
const STREAMS = '/endless-stream/';
const TIMEOUT_MILLISECONDS = 30_000;

/** Head of a success with the lines. */
function head(...lines: string[]): (attemptId: string) => string {
  return attemptId =>
    rawInstance.text([
      'HTTP/1.1 200 OK',
      `X-Rhubarbvane-Attempt-Id: ${attemptId}`,
      'X-Rhubarbvane-Server-Stamp: s',
      ...lines,
    ]);
}

/** Chunks of one byte with the content. */
function oneByteChunks(content: string): string {
  return [...content].map(byte => `1\r\n${byte}\r\n`).join('');
}

const CHUNKED = head('Transfer-Encoding: chunked');
const UNTIL_CLOSE = head('Connection: close');
const NOTHING = () => '';
/** A head that is not complete. */
const OPEN_HEAD = (attemptId: string) => CHUNKED(attemptId).slice(0, -2);
const COMPLETE = (attemptId: string) => CHUNKED(attemptId) + '0\r\n\r\n';

interface EndlessCase extends endlessInstance.EndlessAnswer {
  readonly title: string;
  /** Whether callers read what they get; true if not given. */
  readonly isRead?: boolean;
  /** Where the requests go; both if not given. */
  readonly target?: string;
}

const CASES: readonly EndlessCase[] = [
  {
    title: 'chunks of one byte',
    head: CHUNKED,
    part: '1\r\nx\r\n',
  },
  {
    title: 'events in chunks of one byte',
    head: CHUNKED,
    part: oneByteChunks('data: x\n\n'),
    target: STREAMS,
  },
  {
    title: 'events in chunks of one byte that are not read',
    head: CHUNKED,
    part: oneByteChunks('data: x\n\n'),
    target: STREAMS,
    isRead: false,
  },
  {title: 'chunks of two bytes', head: CHUNKED, part: '2\r\nxx\r\n'},
  {title: 'line ends before an answer', head: NOTHING, part: '\r\n'},
  {
    title: 'interim answers',
    head: NOTHING,
    part: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  {
    title: 'a chunk extension',
    head: id => CHUNKED(id) + '1;',
    part: 'x',
  },
  {title: 'short chunk extensions', head: CHUNKED, part: '1;x=y\r\nx\r\n'},
  {title: "digits of a chunk's size", head: CHUNKED, part: '0'},
  {title: 'trailers', head: id => CHUNKED(id) + '0\r\n', part: 'X-T: y\r\n'},
  {title: 'a body until close', head: UNTIL_CLOSE, part: 'x'},
  {
    title: 'a body until close that is not read',
    head: UNTIL_CLOSE,
    part: 'x',
    isRead: false,
  },
  {
    title: 'an event',
    head: UNTIL_CLOSE,
    part: 'data: x\n',
    target: STREAMS,
  },
  {
    title: 'events with one id',
    head: UNTIL_CLOSE,
    part: 'id: 1\ndata: x\n\n',
    target: STREAMS,
  },
  {
    title: 'comments',
    head: UNTIL_CLOSE,
    part: ':\n\n',
    target: STREAMS,
  },
  {
    title: 'comments that are not read',
    head: UNTIL_CLOSE,
    part: ':\n\n',
    target: STREAMS,
    isRead: false,
  },
  {title: 'a header line', head: OPEN_HEAD, part: 'x'},
  {title: 'headers', head: OPEN_HEAD, part: 'X-H: y\r\n'},
  {title: 'a status line', head: () => 'HTTP/1.1 200 ', part: 'x'},
  {title: 'no HTTP', head: NOTHING, part: 'x'},
  {title: 'zeros', head: NOTHING, part: '\0'},
  {
    title: 'answers after the answer',
    head: COMPLETE,
    part: 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  },
  {title: 'line ends after the answer', head: COMPLETE, part: '\r\n'},
];

/** Registers two instances with the answer for each kind of route. */
async function register(
  t: ava.ExecutionContext,
  {store}: gatewayProgram.GatewayProgram,
  answer: endlessInstance.EndlessAnswer,
): Promise<void> {
  for (const service of ['endless-ledger', 'endless-writers']) {
    for (const index of [1, 2]) {
      const instance = new endlessInstance.EndlessInstance(answer);
      const address = await instance.listen();
      t.teardown(() => instance.close());
      store.put(
        'servers',
        `${service}-${index}`,
        platformObjects.registrationSpec(service, address),
      );
    }
  }
}

const SERVICES = [
  platformObjects.serviceSpec('endless-ledger'),
  platformObjects.serviceSpec('endless-writers', platformObjects.engineSpec()),
];

const ROUTES = [
  testGateway.route(CALLS, 'idempotent', 'endless-ledger', {
    timeoutMs: TIMEOUT_MILLISECONDS,
  }),
  testGateway.route(STREAMS, 'streaming', 'endless-writers', {
    timeoutMs: TIMEOUT_MILLISECONDS,
  }),
];

for (const each of CASES) {
  const {title, isRead = true, target} = each;
  test.serial(
    `clients: ${title} without end leave a gateway alive and within its machine`,
    async t => {
      const gateway = await gatewayProgram.GatewayProgram.start(t, {
        routes: ROUTES,
        services: SERVICES,
      });
      await register(t, gateway, each);
      const targets = target === undefined ? [CALLS, STREAMS] : [target];
      let sent = 0;
      const requests = new crowd.Crowd({
        port: gateway.ports.callers,
        connections: REQUESTS,
        send: () =>
          crowd.unfinished(
            ['Content-Length: 0'],
            () => [],
            `${targets[sent++ % targets.length]}a`,
          ),
        returns: true,
        reads: isRead,
      });
      let answered = 0;
      t.log(
        await requests.run(async () => {
          const answer = await gateway.call();
          answered += answer?.status === 200 ? 1 : 0;
          return answer;
        }),
      );
      t.true(answered > 0, 'ordinary requests are answered meanwhile');
      await gateway.check();
    },
  );
}
