/** Many callers who do not read their streams beside a few who do, with a gateway and two replicas. */
import * as http from 'node:http';
import * as disposable from '../../src/base/common/disposable';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as runQueueWait from './run_queue_wait';
import * as testGateway from './test_gateway';

const {TestGateway} = testGateway;
const {answerHeaders, events} = replicaStandin;

export const MEMORY_MEGABYTES = 400;
export const SLOW_READERS = 16;
const READERS = 4;
/** Size of an event of a slow reader; larger than real ones, since the kernel holds megabytes for each connection. */
export const LARGE_EVENT_BYTES = 60_000;
const LARGE_EVENTS = 200;
const SMALL_EVENTS = 240;
const EVENT_INTERVAL_MILLISECONDS = 20;
const SAMPLE_INTERVAL_MILLISECONDS = 5;

/** Engines with room for all streams, and time to read them, also on a machine that is several times overloaded. */
export const CONFIGURATION = testGateway.configurationSpec(1, {
  routes: [
    testGateway.route('/draft/', 'streaming', 'writers', {
      affinity: true,
      attempts: 1,
      timeoutMs: 90_000,
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
const PATIENT = {'X-Rhubarbvane-Deadline-Ms': '90000'};

/** What a run of the scenario showed. */
export interface ScenarioResult {
  readonly readers: readonly ReaderResult[];
  readonly mostHeldBytes: number;
  /** Most bytes that a replica had to hold for one stream. */
  readonly mostUnreadBytes: number;
  /** Streams of slow readers that their replicas completed. */
  readonly completed: number;
  /** Streams of slow readers that were cut off while their replicas sent them. */
  readonly cut: number;
  /** Answers of slow readers that look complete. */
  readonly whole: number;
  /** Those of them that have every event. */
  readonly wholeAndCorrect: number;
}

/** The stream of a caller who reads. */
export interface ReaderResult {
  /** Longest time between two chunks, in milliseconds. */
  readonly pause: number;
  /** The same without the time for which the kernel ran other threads. */
  readonly pauseWithoutWaits: number;
  readonly isCorrect: boolean;
}

/** Event with an id and data of the size. */
export function largeEvent(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(LARGE_EVENT_BYTES)}\n\n`;
}

/** Opens a stream and reads none of it. */
export function openUnread(
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

/** Streams events at a steady rate: large ones for requests to `/draft/slow`, small ones for others. */
class SteadyReplica {
  mostUnreadBytes = 0;
  completed = 0;
  cut = 0;
  /** Made once, so that they take little time of the thread that the gateway runs in. */
  readonly largeEvents = Array.from({length: LARGE_EVENTS}, (_, index) =>
    Buffer.from(largeEvent(index + 1)),
  );

  readonly handle: replicaStandin.ReplicaHandler = (request, response) => {
    const isLarge = request.url === '/draft/slow';
    const count = isLarge ? LARGE_EVENTS : SMALL_EVENTS;
    response.writeHead(200, answerHeaders(request));
    let id = 0;
    const timer = setInterval(() => {
      if (isLarge) {
        this.mostUnreadBytes = Math.max(
          this.mostUnreadBytes,
          response.writableLength,
        );
      }
      id++;
      response.write(isLarge ? this.largeEvents[id - 1] : events(id, id));
      if (id === count) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_INTERVAL_MILLISECONDS);
    response.once('close', () => {
      clearInterval(timer);
      if (isLarge && response.writableFinished) {
        this.completed++;
      } else if (isLarge) {
        this.cut++;
      }
    });
  };
}

/** Runs the scenario in this thread; `owner` is told what to stop. */
export async function run(
  owner: testGateway.TestOwner,
): Promise<ScenarioResult> {
  const replica = new SteadyReplica();
  const gateway = await TestGateway.start(
    owner,
    {
      'i-1': ['writers', replica.handle],
      'i-2': ['writers', replica.handle],
    },
    CONFIGURATION,
    {settings: {limits: {memory_megabytes: MEMORY_MEGABYTES}}},
  );
  await gateway.until(() => gateway.process.state.instances.size === 2);
  const unread = await Promise.all(
    Array.from({length: SLOW_READERS}, () =>
      openUnread(gateway, '/draft/slow'),
    ),
  );
  let mostHeldBytes = 0;
  const sampling = disposable.every(SAMPLE_INTERVAL_MILLISECONDS, () => {
    mostHeldBytes = Math.max(mostHeldBytes, gateway.process.heldBytes);
  });
  owner.teardown(() => sampling.dispose());
  const readers = await Promise.all(
    Array.from({length: READERS}, () => readPauses(gateway)),
  );
  await gateway.until(() => replica.completed + replica.cut === SLOW_READERS);
  const {completed, cut, mostUnreadBytes} = replica;
  // What is cut off must not look complete, however late its caller reads.
  const expected = Buffer.concat(replica.largeEvents);
  const answers = await Promise.all(unread.map(readRest));
  const whole = answers.filter(each => each.isComplete);
  return {
    readers,
    mostHeldBytes,
    mostUnreadBytes,
    completed,
    cut,
    whole: whole.length,
    wholeAndCorrect: whole.filter(each => each.body.equals(expected)).length,
  };
}

/** Reads what is left of an answer, as bytes: texts of this size do not fit the heap of a deployed gateway. */
function readRest(
  response: http.IncomingMessage,
): Promise<{isComplete: boolean; body: Buffer}> {
  if (response.closed) {
    const body = Buffer.alloc(0);
    return Promise.resolve({isComplete: response.complete, body});
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.once('close', () =>
      resolve({isComplete: response.complete, body: Buffer.concat(chunks)}),
    );
    response.resume();
  });
}

/** Reads a stream and measures its pauses. */
async function readPauses(
  gateway: testGateway.TestGateway,
): Promise<ReaderResult> {
  const request = gateway.send('/draft/fast', {
    method: 'POST',
    body: 'p',
    headers: PATIENT,
  });
  return new Promise(resolve =>
    request.once('response', response => {
      let last = runQueueWait.readThreadTimes();
      let pause = 0;
      let pauseWithoutWaits = 0;
      let body = '';
      response.on('data', chunk => {
        const times = runQueueWait.readThreadTimes();
        const elapsed = times.now - last.now;
        const waited = times.waited - last.waited;
        pause = Math.max(pause, elapsed);
        pauseWithoutWaits = Math.max(pauseWithoutWaits, elapsed - waited);
        last = times;
        body += String(chunk);
      });
      response.on('error', () => undefined);
      response.once('close', () =>
        resolve({
          pause,
          pauseWithoutWaits,
          isCorrect: body === events(1, SMALL_EVENTS),
        }),
      );
    }),
  );
}
