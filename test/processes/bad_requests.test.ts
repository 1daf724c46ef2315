import * as net from 'node:net';
import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as localDeployment from '../../standins/local_deployment';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;

test.before(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 1,
    engines: 1,
    services: 0,
  });
  await t.context.start();
});

test.after.always(t => t.context.stop());

const VALID_REQUEST = {
  model: localDeployment.MODEL,
  prompt: 'x',
  max_tokens: 2,
};

interface BadRequest {
  readonly title: string;
  readonly body: string;
  readonly headers?: Record<string, string>;
  readonly path?: string;
  readonly status: number;
  readonly code: resultCode.ResultCode;
  readonly message: RegExp;
}

const {ResultCode} = resultCode;
const BAD_REQUESTS: readonly BadRequest[] = [
  {
    title: 'malformed JSON',
    body: '{',
    status: 400,
    code: ResultCode.MalformedRequest,
    message: /body: not valid json/,
  },
  {
    title: 'a field of the wrong type',
    body: JSON.stringify({...VALID_REQUEST, max_tokens: '2'}),
    status: 400,
    code: ResultCode.InvalidField,
    message: /max_tokens/,
  },
  {
    title: 'a missing prompt',
    body: JSON.stringify({model: 'm'}),
    status: 400,
    code: ResultCode.InvalidField,
    message: /prompt/,
  },
  {
    title: 'an unknown model',
    body: JSON.stringify({...VALID_REQUEST, model: 'none'}),
    status: 404,
    code: ResultCode.UnknownModel,
    message: /model/,
  },
  {
    title: 'a request that exceeds the context',
    body: JSON.stringify({...VALID_REQUEST, max_tokens: 900_000}),
    status: 400,
    code: ResultCode.ContextTooLong,
    message: /max_tokens/,
  },
  {
    title: 'an invalid token',
    body: JSON.stringify(VALID_REQUEST),
    headers: {authorization: 'Bearer none'},
    status: 401,
    code: ResultCode.Unauthenticated,
    message: /authorization/,
  },
  {
    title: 'an unknown route',
    body: '',
    path: '/services/none/x',
    status: 404,
    code: ResultCode.UnknownRoute,
    message: /route/,
  },
  {
    title: 'an unknown path',
    body: '',
    path: '/v2/x',
    status: 404,
    code: ResultCode.UnknownPath,
    message: /v2/,
  },
  {
    title: 'a body over the limit',
    body: JSON.stringify({...VALID_REQUEST, prompt: 'x'.repeat(1_100_000)}),
    status: 413,
    code: ResultCode.BodyTooLarge,
    message: /body/,
  },
  {
    title: 'headers over the limit',
    body: JSON.stringify(VALID_REQUEST),
    headers: {'x-long': 'x'.repeat(20_000)},
    status: 431,
    code: ResultCode.HeadersTooLarge,
    message: /headers/,
  },
  {
    title: 'an invalid event id',
    body: JSON.stringify(VALID_REQUEST),
    headers: {'last-event-id': 'x'},
    status: 400,
    code: ResultCode.InvalidEventId,
    message: /last-event-id/,
  },
];

/** Sends raw bytes and reads until the connection closes or an answer is complete. */
function sendRaw(
  address: string,
  text: string,
  isHalfClosed = false,
): Promise<string> {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const socket = net.connect(Number(port), host);
    let answer = '';
    socket.on('data', chunk => {
      answer += chunk.toString();
      const head = /content-length: (\d+)/i.exec(answer);
      const bodyAt = answer.indexOf('\r\n\r\n') + 4;
      if (
        head !== null &&
        bodyAt > 3 &&
        answer.length >= bodyAt + Number(head[1])
      ) {
        socket.destroy();
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answer));
    socket.write(text);
    if (isHalfClosed) {
      socket.end();
    }
  });
}

for (const {
  title,
  body,
  headers,
  path,
  status,
  code,
  message,
} of BAD_REQUESTS) {
  test.serial(
    `${title} is refused with its status, result code and message, and reaches no endpoint`,
    async t => {
      const entry = t.context.entries[0];
      const allHeaders = {
        host: 'x',
        'content-length': String(Buffer.byteLength(body)),
        ...callers.BEARER,
        ...headers,
      };
      const lines = Object.entries(allHeaders).map(
        ([name, value]) => `${name}: ${value}`,
      );
      const head = `POST ${path ?? '/v1/completions'} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`;
      const answer = await sendRaw(entry.address, head + body);
      t.regex(answer, new RegExp(`^HTTP/1.1 ${status} `));
      t.regex(answer, new RegExp(`Rhubarbvane-Result: ${code}\r\n`, 'i'));
      t.regex(answer, /Rhubarbvane-Work: not-run\r\n/i);
      const text = answer.slice(answer.indexOf('\r\n\r\n') + 4);
      const error = (JSON.parse(text) as {error: {message: string}}).error;
      t.regex(error.message.toLowerCase(), message);
      t.deepEqual(await callers.runsOf(t.context.engines[0].endpoint.url), []);
    },
  );
}

test.serial('a request with a truncated body reaches no endpoint', async t => {
  const entry = t.context.entries[0];
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: ${callers.BEARER.authorization}\r\ncontent-length: 500\r\n\r\n{"model"`;
  await sendRaw(entry.address, head, true);
  t.deepEqual(await callers.runsOf(t.context.engines[0].endpoint.url), []);
});
