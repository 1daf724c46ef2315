/** Callers who do not read their answers, beside some that do. */
import * as http from 'node:http';
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, configurationSpec} = testGateway;
const {answerHeaders, events} = replicaStandin;

/** Longest pause that callers of streams accept, in milliseconds. */
const MAX_PAUSE_MILLISECONDS = 180;
const MEMORY_MEGABYTES = 400;
/** Bytes that may be held for all callers. */
const MAX_HELD_BYTES = MEMORY_MEGABYTES * 200_000;
const SLOW_READERS = 16;
const READERS = 4;
/** Size of an event of a slow reader; larger than real ones, since the kernel holds megabytes for each connection. */
const LARGE_EVENT_BYTES = 60_000;
const LARGE_EVENTS = 200;
/** Events of a stream that is read late; more than the kernel holds on both connections. */
const LATE_EVENTS = 250;
const SMALL_EVENTS = 240;
const EVENT_INTERVAL_MILLISECONDS = 20;

/** Engines with room for all streams of these tests, and time to read them. */
const CONFIGURATION = configurationSpec(1, {
  routes: [
    testGateway.route('/draft/', 'streaming', 'writers', {
      affinity: true,
      attempts: 1,
      timeoutMs: 30_000,
    }),
  ],
  services: [
    platformObjects.serviceSpec('ledger'),
    platformObjects.serviceSpec(
      'writers',
      platformObjects.engineSpec({stride: 4, kvCap: 1_000_000, slots: 500}),
    ),
  ],
});
const PATIENT = {'X-Rhubarbvane-Deadline-Ms': '30000'};
const SETTINGS = {limits: {memory_megabytes: MEMORY_MEGABYTES}};

/** Event with an id and data of the size. */
function largeEvent(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(LARGE_EVENT_BYTES)}\n\n`;
}

/** Text of the events with the ids from 1. */
function largeEvents(count: number): string {
  return Array.from({length: count}, (_, index) => largeEvent(index + 1)).join(
    '',
  );
}

/** The events of slow readers, made once so that replicas take little time of the process that they share with the gateway. */
const LARGE_EVENT_BUFFERS = Array.from({length: LARGE_EVENTS}, (_, index) =>
  Buffer.from(largeEvent(index + 1)),
);

/** How the streams of a replica went. */
interface StreamStatistics {
  /** Most bytes that the replica had to hold for one stream. */
  mostUnread: number;
  completed: number;
  cut: number;
}

/** Streams events at a steady rate: large ones for requests to `/draft/slow`, small ones for others. */
function steadyStream(
  statistics: StreamStatistics,
): replicaStandin.ReplicaHandler {
  return (request, response) => {
    const isLarge = request.url === '/draft/slow';
    const count = isLarge ? LARGE_EVENTS : SMALL_EVENTS;
    response.writeHead(200, answerHeaders(request));
    let id = 0;
    const timer = setInterval(() => {
      if (isLarge) {
        statistics.mostUnread = Math.max(
          statistics.mostUnread,
          response.writableLength,
        );
      }
      id++;
      response.write(isLarge ? LARGE_EVENT_BUFFERS[id - 1] : events(id, id));
      if (id === count) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_INTERVAL_MILLISECONDS);
    response.once('close', () => {
      clearInterval(timer);
      if (isLarge && response.writableFinished) {
        statistics.completed++;
      } else if (isLarge) {
        statistics.cut++;
      }
    });
  };
}

/** Opens a stream and reads none of it. */
function openUnread(
  gateway: testGateway.TestGateway,
  path: string,
): Promise<http.IncomingMessage> {
  const request = gateway.send(path, {
    method: 'POST',
    body: 'p',
    headers: PATIENT,
  });
  return new Promise(resolve =>
    request.once('response', response => {
      response.pause();
      // A cut answer ends with an error that nobody else handles.
      response.on('error', () => undefined);
      resolve(response);
    }),
  );
}

/** Reads what is left of an answer, which may have been cut off already. */
function readRest(
  response: http.IncomingMessage,
): Promise<{isComplete: boolean; body: string}> {
  if (response.closed) {
    return Promise.resolve({isComplete: response.complete, body: ''});
  }
  const answer = testGateway.readAnswer(response);
  response.resume();
  return answer;
}

/** Reads a stream; resolves with the longest pause between its chunks. */
async function readPauses(
  gateway: testGateway.TestGateway,
): Promise<{pause: number; body: string}> {
  const request = gateway.send('/draft/fast', {
    method: 'POST',
    body: 'p',
    headers: PATIENT,
  });
  return new Promise(resolve =>
    request.once('response', response => {
      let lastAt = performance.now();
      let pause = 0;
      let body = '';
      response.on('data', chunk => {
        const now = performance.now();
        pause = Math.max(pause, now - lastAt);
        lastAt = now;
        body += String(chunk);
      });
      response.once('close', () => resolve({pause, body}));
    }),
  );
}

test.serial(
  'slow readers: many callers that do not read leave other streams without long pauses and the held bytes within their bound',
  async t => {
    const statistics: StreamStatistics = {mostUnread: 0, completed: 0, cut: 0};
    const gateway = await TestGateway.start(
      t,
      {
        'i-1': ['writers', steadyStream(statistics)],
        'i-2': ['writers', steadyStream(statistics)],
      },
      CONFIGURATION,
      {settings: SETTINGS},
    );
    await gateway.until(() => gateway.process.state.instances.size === 2);
    const unread = await Promise.all(
      Array.from({length: SLOW_READERS}, () =>
        openUnread(gateway, '/draft/slow'),
      ),
    );
    let mostHeld = 0;
    const sampling = setInterval(() => {
      mostHeld = Math.max(mostHeld, gateway.process.heldBytes);
    }, 5);
    t.teardown(() => clearInterval(sampling));
    const readers = await Promise.all(
      Array.from({length: READERS}, () => readPauses(gateway)),
    );
    const pauses = readers.map(({pause}) => Math.round(pause));
    t.log(`longest pauses of readers: ${pauses.join(', ')} ms`);
    await gateway.until(
      () => statistics.completed + statistics.cut === SLOW_READERS,
    );
    t.log(
      `held at most ${mostHeld} of ${MAX_HELD_BYTES} bytes; ${statistics.cut} of ${SLOW_READERS} cut off`,
    );
    t.log(`a replica held at most ${statistics.mostUnread} bytes of a stream`);
    t.true(pauses.every(pause => pause < MAX_PAUSE_MILLISECONDS));
    readers.forEach(({body}) => t.is(body, events(1, SMALL_EVENTS)));
    t.true(mostHeld > 0);
    t.true(mostHeld <= MAX_HELD_BYTES);
    t.true(statistics.cut > 0);
    t.true(statistics.mostUnread < 2 * LARGE_EVENT_BYTES);
    // What is cut off must not look complete, however late its caller reads.
    const answers = await Promise.all(unread.map(readRest));
    const whole = answers.filter(each => each.isComplete);
    // An answer that its instance has completed may still be cut off.
    t.true(whole.length > 0 && whole.length <= statistics.completed);
    const expected = largeEvents(LARGE_EVENTS);
    t.true(whole.every(each => each.body === expected));
  },
);

interface LateReaderCase {
  readonly title: string;
  readonly memoryMegabytes: number;
  /** Whether the replica can write its whole answer while its caller does not read. */
  readonly isReadOn: boolean;
}

const LATE_READERS: readonly LateReaderCase[] = [
  {
    title: 'an instance is read on while its caller does not read',
    memoryMegabytes: 1_000,
    isReadOn: true,
  },
  {
    title: 'an instance is paused at the bound for one answer',
    memoryMegabytes: 50,
    isReadOn: false,
  },
  {
    title: 'without the setting an instance is paused as before',
    memoryMegabytes: 0,
    isReadOn: false,
  },
];

for (const {title, memoryMegabytes, isReadOn} of LATE_READERS) {
  test.serial(
    `slow readers: ${title}, and the caller then gets every event`,
    async t => {
      let hasEnded = false;
      const gateway = await TestGateway.start(
        t,
        {
          'i-1': [
            'writers',
            (request, response) => {
              response.writeHead(200, answerHeaders(request));
              for (let id = 1; id <= LATE_EVENTS; id++) {
                response.write(largeEvent(id));
              }
              response.end(() => (hasEnded = true));
            },
          ],
        },
        CONFIGURATION,
        {settings: {limits: {memory_megabytes: memoryMegabytes}}},
      );
      const unread = await openUnread(gateway, '/draft/slow');
      if (isReadOn) {
        await gateway.until(() => hasEnded);
      } else {
        await untilStill(() => gateway.process.heldBytes);
        t.false(hasEnded);
      }
      const {isComplete, body} = await readRest(unread);
      t.true(isComplete);
      t.true(body === largeEvents(LATE_EVENTS));
      await gateway.until(() => gateway.process.heldBytes === 0);
    },
  );
}

// A report with many undelivered events otherwise means a broken connection.
test.serial(
  'slow readers: a stream that is paused at its bound is not run again elsewhere as stalled',
  async t => {
    let reports = 0;
    const flood: replicaStandin.ReplicaHandler = (request, response) => {
      response.writeHead(200, answerHeaders(request));
      response.write(largeEvents(LATE_EVENTS));
      const id = String(request.headers['x-rhubarbvane-attempt-id']);
      for (const replica of gateway.replicas.values()) {
        const runs = [[id, 0, 10_000, 1]];
        Object.defineProperty(replica, 'runs', {
          get: () => {
            reports++;
            return runs;
          },
        });
      }
    };
    const gateway = await TestGateway.start(
      t,
      {'i-1': ['writers', flood], 'i-2': ['writers', flood]},
      configurationSpec(1),
      {settings: {limits: {memory_megabytes: 10}}},
    );
    await gateway.until(() => gateway.process.state.instances.size === 2);
    await openUnread(gateway, '/tag/slow');
    await untilStill(() => gateway.process.heldBytes);
    const seen = reports;
    // The second report is read after the first one has been acted on.
    await gateway.until(() => reports > seen + 1 || gateway.requestCount > 1);
    t.is(gateway.requestCount, 1);
  },
);

for (const memoryMegabytes of [10, 1_000]) {
  const isCut = memoryMegabytes === 10;
  test.serial(
    `slow readers: a whole answer that is not read ${isCut ? 'is cut off beyond the sum' : 'is delivered later'}`,
    async t => {
      const whole = 'x'.repeat(LATE_EVENTS * LARGE_EVENT_BYTES);
      const gateway = await TestGateway.start(
        t,
        {'i-1': ['ledger', replicaStandin.succeed(whole)]},
        undefined,
        {settings: {limits: {memory_megabytes: memoryMegabytes}}},
      );
      const request = gateway.send('/read/a');
      const end = await new Promise<string>(resolve => {
        request.once('error', () => resolve('reset'));
        request.once('response', async response => {
          response.pause();
          await untilStill(() => gateway.process.heldBytes);
          const {isComplete, body} = await readRest(response);
          resolve(isComplete && body === whole ? 'whole' : 'cut');
        });
      });
      t.is(end, isCut ? 'reset' : 'whole');
      await gateway.until(() => gateway.process.heldBytes === 0);
    },
  );
}

/** Waits until a value stays the same for half a second. */
async function untilStill(read: () => number): Promise<void> {
  let last = NaN;
  while (last !== read()) {
    last = read();
    await new Promise(resolve => setTimeout(resolve, 500));
  }
}
