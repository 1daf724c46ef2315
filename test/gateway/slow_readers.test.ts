/** Callers who do not read their answers, beside some that do. */
import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as path from 'node:path';
import * as util from 'node:util';
import * as ava from 'ava';
import * as replicaStandin from '../../standins/replica_standin';
import * as deployedProgram from '../../standins/deployed_program';
import * as slowReaderScenario from '../support/slow_reader_scenario';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, configurationSpec} = testGateway;
const {answerHeaders} = replicaStandin;

const {LARGE_EVENT_BYTES, SLOW_READERS, largeEvent, openUnread} =
  slowReaderScenario;

/** Longest pause that callers of streams accept, in milliseconds. */
const MAX_PAUSE_MILLISECONDS = 180;
/** Bytes that may be held for all callers. */
const MAX_HELD_BYTES = slowReaderScenario.MEMORY_MEGABYTES * 200_000;
/** Events of a stream that is read late; more than the kernel holds on both connections. */
const LATE_EVENTS = 250;
const SCENARIO_PROGRAM = path.join(
  __dirname,
  '..',
  'support',
  'slow_reader_main.js',
);

/** Text of the events with the ids from 1. */
function largeEvents(count: number): string {
  return Array.from({length: count}, (_, index) => largeEvent(index + 1)).join(
    '',
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

/*
 * Guards against work of the gateway that blocks its event loop for long, and
 * against bytes held without bound. The scenario has a process of its own with
 * the flags of deployments: the collector of the test runner's process waits
 * for helper threads that a busy machine does not run. Time for which the
 * kernel ran other threads is no pause of the gateway and does not count: on a
 * busy machine it exceeds the bound without any slow readers.
 */
test.serial(
  'slow readers: many callers that do not read leave other streams without long pauses and the held bytes within their bound',
  async t => {
    const {stdout} = await util.promisify(childProcess.execFile)(
      process.execPath,
      [...deployedProgram.deployedFlags(), SCENARIO_PROGRAM],
    );
    const result = JSON.parse(stdout) as slowReaderScenario.ScenarioResult;
    const {readers, completed, cut, whole} = result;
    const pauses = readers.map(each => Math.round(each.pauseWithoutWaits));
    const allPauses = readers.map(each => Math.round(each.pause));
    t.log(
      `longest pauses of readers: ${pauses.join(', ')} ms, with waits for a processor ${allPauses.join(', ')} ms`,
    );
    t.log(
      `held at most ${result.mostHeldBytes} of ${MAX_HELD_BYTES} bytes; ${cut} of ${SLOW_READERS} cut off`,
    );
    t.log(`a replica held at most ${result.mostUnreadBytes} bytes of a stream`);
    t.true(pauses.length > 0);
    t.true(pauses.every(pause => pause < MAX_PAUSE_MILLISECONDS));
    t.true(readers.every(each => each.isCorrect));
    t.true(result.mostHeldBytes > 0);
    t.true(result.mostHeldBytes <= MAX_HELD_BYTES);
    t.true(cut > 0);
    t.is(completed + cut, SLOW_READERS);
    t.true(result.mostUnreadBytes < 2 * LARGE_EVENT_BYTES);
    // An answer that its instance has completed may still be cut off.
    t.true(whole > 0 && whole <= completed);
    t.is(result.wholeAndCorrect, whole);
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
        slowReaderScenario.CONFIGURATION,
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
