import * as ava from 'ava';
import * as httpClient from '../../../src/base/node/http_client';

const test = ava.default;

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
