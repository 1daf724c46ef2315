/**
 * Requests of callers on kept connections that arrive while the gateway closes
 * these: whatever it passes on to an instance is answered whole.
 */
import * as net from 'node:net';
import * as ava from 'ava';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';
import * as gatewaySettings from '../../src/gateway/node/gateway_settings';
import * as testGateway from '../support/test_gateway';

const test = ava.default;
const {TestGateway, HOST, KEY} = testGateway;
const SEED = 20_261_206;
const CONNECTIONS = 40;
const IDLE_TIMEOUT_MILLISECONDS = 200;
/** Time for which the gateway keeps an idle connection beyond the limit, in milliseconds. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
/** Longest time that an instance takes for an answer, in milliseconds. */
const MAX_ANSWER_MILLISECONDS = 40;
const GRACE_SECONDS = 6;
const ANSWER_END = 'end of answer';

/** Numbers from 0 to 1 that are the same in each run (mulberry32). */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

let attemptCount = 0;

/** A caller that sends one request at a time and keeps its connection for as long as the gateway does. */
class Caller {
  isClosed = false;
  /** Whether an answer announced that the connection is closed after it. */
  private isLast = false;
  private received = '';
  private onDidAnswer: (isAnswered: boolean) => void = () => undefined;
  private readonly socket: net.Socket;

  constructor(port: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.setNoDelay(true);
    this.socket.on('error', () => undefined);
    this.socket.on('data', chunk => this.receive(chunk.toString()));
    this.socket.once('close', () => {
      this.isClosed = true;
      this.onDidAnswer(false);
    });
  }

  get mayCall(): boolean {
    return !this.isClosed && !this.isLast;
  }

  /** Sends a request; resolves with whether it was answered whole. */
  call(attemptId: string, path: string): Promise<boolean> {
    this.received = '';
    const answered = new Promise<boolean>(
      resolve => (this.onDidAnswer = resolve),
    );
    const body = 'x'.repeat(600);
    this.socket.write(
      `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: Bearer ${KEY}\r\nX-Rhubarbvane-Attempt-Id: ${attemptId}\r\nX-Rhubarbvane-Token-Count: 100,400\r\nX-Rhubarbvane-Deadline-Ms: 3000\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    return answered;
  }

  destroy(): void {
    this.socket.destroy();
  }

  private receive(text: string): void {
    this.received += text;
    const [head, ...rest] = this.received.split('\r\n\r\n');
    const body = rest.join('\r\n\r\n');
    const length = /^content-length: (\d+)/im.exec(head)?.[1];
    const isWhole =
      length === undefined
        ? body.endsWith('0\r\n\r\n')
        : body.length >= Number(length);
    if (rest.length > 0 && isWhole) {
      this.isLast = /^connection: close/im.test(head);
      this.onDidAnswer(true);
    }
  }
}

/** Counts of the requests of one run. */
interface Tally {
  answered: number;
  /** Ended by a close, and not passed on. */
  crossed: number;
  /** Passed on, and ended by a close. */
  readonly lost: string[];
}

/** A gateway, its callers, and what became of their requests. */
class Scene {
  readonly tally: Tally = {answered: 0, crossed: 0, lost: []};
  readonly callers: Caller[] = [];

  private constructor(
    readonly gateway: testGateway.TestGateway,
    private readonly passedOn: Set<string>,
  ) {}

  static async start(t: ava.ExecutionContext, draw: () => number) {
    const passedOn = new Set<string>();
    const answer: replicaStandin.ReplicaHandler = (request, response) => {
      passedOn.add(String(request.headers['x-rhubarbvane-attempt-id']));
      const isStream = request.url.startsWith('/draft/');
      const send = () => {
        response.writeHead(200, replicaStandin.answerHeaders(request));
        response.write(isStream ? replicaStandin.events(1, 2) : 'part');
        setTimeout(
          () =>
            response.end(isStream ? replicaStandin.events(3, 4) : ANSWER_END),
          draw() * MAX_ANSWER_MILLISECONDS,
        );
      };
      setTimeout(send, draw() * MAX_ANSWER_MILLISECONDS);
    };
    const limits = {
      ...platformObjects.LIMITS,
      idleTimeoutMs: IDLE_TIMEOUT_MILLISECONDS,
    };
    const gateway = await TestGateway.start(
      t,
      {'i-1': ['ledger', answer], 'i-2': ['writers', answer]},
      testGateway.configurationSpec(1, {limits}),
      {settings: {shutdown: {grace_seconds: GRACE_SECONDS}}},
    );
    await gateway.until(() => gateway.process.state.instances.size === 2);
    const scene = new Scene(gateway, passedOn);
    for (let index = 0; index < CONNECTIONS; index++) {
      scene.callers.push(new Caller(gateway.process.port));
    }
    t.teardown(() => scene.callers.forEach(caller => caller.destroy()));
    return scene;
  }

  /** The connection of a caller, which makes another one if it may not be used any more. */
  keptConnection(index: number, port: number): Caller {
    const caller = this.callers[index];
    if (caller.mayCall) {
      return caller;
    }
    caller.destroy();
    return (this.callers[index] = new Caller(port));
  }

  /** Sends one request of a caller, and counts what becomes of it. */
  async call(caller: Caller, draw: () => number): Promise<void> {
    const id = (++attemptCount).toString(16).padStart(16, 'c');
    const paths = ['/read/a', '/file/a', '/draft/a'];
    const path = paths[Math.floor(draw() * paths.length)];
    if (await caller.call(id, path)) {
      this.tally.answered++;
    } else if (this.passedOn.has(id)) {
      this.tally.lost.push(`${id} ${path}`);
    } else {
      this.tally.crossed++;
    }
  }
}

function wait(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

test('connection closes: a request that arrives at the end of the idle time and is passed on is answered', async t => {
  const draw = createDraw(SEED);
  const scene = await Scene.start(t, draw);
  const idle = IDLE_TIMEOUT_MILLISECONDS + IDLE_MARGIN_MILLISECONDS;
  await Promise.all(
    scene.callers.map(async caller => {
      await scene.call(caller, draw);
      // Within a few milliseconds before and after the close.
      await wait(idle - 30 + draw() * 40);
      if (caller.mayCall) {
        await scene.call(caller, draw);
      }
    }),
  );
  t.log(scene.tally);
  t.deepEqual(scene.tally.lost, []);
  t.true(scene.tally.answered >= CONNECTIONS);
});

for (const [title, isReloaded] of [
  ['while the gateway stops', false],
  ['while the gateway reloads its settings and stops', true],
] as const) {
  test(`connection closes: a request that arrives ${title} and is passed on is answered`, async t => {
    const draw = createDraw(SEED + 1);
    const scene = await Scene.start(t, draw);
    const {gateway, tally} = scene;
    let hasStopped = false;
    const {port} = gateway.process;
    const callers = scene.callers.map(async (_, index) => {
      while (!hasStopped) {
        const caller = scene.keptConnection(index, port);
        await scene.call(caller, draw);
        // Some are idle when the gateway is told to stop, until it has stopped.
        await wait(draw() < 0.7 ? draw() * 20 : draw() * 3_000);
      }
    });
    await wait(200);
    if (isReloaded) {
      for (let count = 0; count < 8; count++) {
        gateway.process.reload({
          peers: {seeds: '', digest_port: 0},
          retries: {window_seconds: 10, ratio: 0.2, allowance: 50 + count},
        } as gatewaySettings.GatewaySettings);
        await wait(20);
      }
    }
    await gateway.process.shutDown();
    hasStopped = true;
    await Promise.all(callers);
    t.log(tally);
    t.deepEqual(tally.lost, []);
    t.true(tally.answered >= CONNECTIONS);
  });
}
