/** Answers to calls of the system's own that are none in the protocol. */
import * as ava from 'ava';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceHttpClient from '../../src/platform/instance_http_client';
import * as rawInstance from '../support/raw_instance';

const test = ava.default;
const {text, listen} = rawInstance;
const REPORT = '{"kvHandle":"h","created":3,"queued":1}';

for (const statusLine of [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 600 OK',
  'HTTP/2.0 200 OK',
]) {
  test(`control answers: ${statusLine} is neither a report nor a copy`, async t => {
    const [, ...headers] = rawInstance.jsonHead(REPORT);
    const instance = await listen(t, socket =>
      socket.write(text([statusLine, ...headers], REPORT)),
    );
    const client = new instanceHttpClient.InstanceHttpClient();
    t.teardown(() => client.dispose());
    t.is(await client.readReport(instance), undefined);
    const copy = await client.copyRun(instance, {
      attemptId: 'a',
      target: instance,
      isFinal: true,
      timeoutMilliseconds: 1_000,
    });
    t.deepEqual(copy._unsafeUnwrapErr(), {
      error: instanceClient.CopyError.NoAnswer,
      handle: undefined,
    });
  });
}
