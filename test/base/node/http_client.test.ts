import * as net from 'node:net';
import * as ava from 'ava';
import * as deadline from '../../../src/base/common/deadline';
import * as httpClient from '../../../src/base/node/http_client';

const test = ava.default;
const PATIENCE_MILLISECONDS = 30_000;
/** Less than the time limit of the calls, in milliseconds. */
const PROMPT_MILLISECONDS = 5_000;

const CASES = [
  {code: 'ECONNREFUSED', syscall: 'connect', isProof: true},
  {code: 'EHOSTUNREACH', syscall: 'connect', isProof: true},
  {code: 'EHOSTUNREACH', syscall: 'read', isProof: false},
  {code: 'ENETUNREACH', syscall: 'write', isProof: false},
  {code: 'ETIMEDOUT', syscall: 'connect', isProof: false},
  {code: 'ECONNRESET', syscall: 'read', isProof: false},
];

for (const {code, syscall, isProof} of CASES) {
  test(`${code} of ${syscall} ${isProof ? 'proves' : 'does not prove'} that nothing was sent`, t => {
    const error = Object.assign(new Error(code), {code, syscall});
    t.is(httpClient.neverSent(error), isProof);
  });
}

test('a refused connection proves that nothing was sent', async t => {
  const error: unknown = await t.throwsAsync(
    httpClient.callHttp({
      method: 'GET',
      url: 'http://127.0.0.1:1',
      timeoutMilliseconds: 1_000,
    }),
  );
  t.true(httpClient.neverSent(error));
});

// Guards against callers that wait for good, and against a status that cannot be passed on.
for (const [title, head] of [
  ['status 000', 'HTTP/1.1 000 Trouble\r\nContent-Length: 0'],
  ['status 099', 'HTTP/1.1 099 Trouble\r\nContent-Length: 0'],
  ['status 101', 'HTTP/1.1 101 Switching'],
  [
    'another protocol',
    'HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: h2c',
  ],
  ['status 999', 'HTTP/1.1 999 Trouble\r\nContent-Length: 0'],
  ['HTTP/2.0', 'HTTP/2.0 200 OK\r\nContent-Length: 0'],
] as const) {
  test(`a response with ${title} is an error at once, which is no proof that nothing was sent`, async t => {
    const server = net.createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(`${head}\r\n\r\n`));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    t.teardown(() => server.close());
    const {port} = server.address() as net.AddressInfo;
    const failure = httpClient
      .callHttp({
        method: 'GET',
        url: `http://127.0.0.1:${port}/`,
        timeoutMilliseconds: PATIENCE_MILLISECONDS,
      })
      .then(
        ({status}) => status,
        (error: unknown) => error,
      );
    const late = deadline.delay(PROMPT_MILLISECONDS).then(() => 'late');
    const error = await Promise.race([failure, late]);
    t.true(error instanceof Error, String(error));
    t.false(error instanceof deadline.DeadlineError);
    t.false(httpClient.neverSent(error));
  });
}
