/** Instances that stop in the middle of the head of an answer. */
import * as ava from 'ava';
import * as instanceHttpClient from '../../src/platform/instance_http_client';
import * as rawInstance from '../support/raw_instance';

const test = ava.default;
const {SUCCESS, listen, receive, request, text} = rawInstance;

const FRAMINGS: readonly (readonly [string, string])[] = [
  ['a length', text([...SUCCESS, 'Content-Length: 12'], 'whole answer')],
  [
    'chunks',
    text(
      [...SUCCESS, 'Transfer-Encoding: chunked'],
      'c\r\nwhole answer\r\n0\r\n\r\n',
    ),
  ],
  ['neither', text(SUCCESS, 'whole answer')],
];

// Guards against an answer that stops in its head and is taken for one with an empty or a short body.
for (const [title, whole] of FRAMINGS) {
  for (const isReset of [false, true]) {
    const end = isReset ? 'reset' : 'closed';
    test(`replica: an answer with ${title} that is cut in its head and ${end} is no answer`, async t => {
      const headLength = whole.indexOf('\r\n\r\n') + '\r\n\r\n'.length;
      let length = 0;
      const instance = await listen(t, socket => {
        const part = whole.slice(0, length);
        if (isReset) {
          socket.write(part, () => socket.resetAndDestroy());
        } else {
          socket.end(part);
        }
      });
      const client = new instanceHttpClient.InstanceHttpClient();
      t.teardown(() => client.dispose());
      for (length = 0; length < headLength; length++) {
        const outcome = await receive(client.send(instance, request()));
        t.is(outcome.status, undefined, `cut after ${length} bytes`);
        t.truthy(outcome.error);
      }
    });
  }
}
