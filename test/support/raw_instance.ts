/** Instances that answer with given bytes, whether or not these are HTTP. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as instanceClient from '../../src/gateway/common/instance_client';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as gatewayRecords from './gateway_records';

/** Attempt id of all requests. */
export const ATTEMPT = '00000000000000a1';

/** Head of a success, without the framing of its body. */
export const SUCCESS = [
  'HTTP/1.1 200 OK',
  `X-Rhubarbvane-Attempt-Id: ${ATTEMPT}`,
  'X-Rhubarbvane-Server-Stamp: s',
];

/** Text of the lines of a head, and of a body. */
export function text(lines: readonly string[], body = ''): string {
  return [...lines, '', body].join('\r\n');
}

/** Listens on a free port; `answer` is called with the socket and a running count whenever data arrives. */
export async function listen(
  t: ava.ExecutionContext,
  answer: (socket: net.Socket, count: number) => void,
): Promise<instanceTable.Instance> {
  let count = 0;
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket, ++count));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return instanceAt((server.address() as net.AddressInfo).port);
}

/** An instance at a port of the loopback. */
export function instanceAt(port: number): instanceTable.Instance {
  const table = new instanceTable.InstanceTable();
  const record = gatewayRecords.instanceRecord({
    id: 'i-1',
    address: `127.0.0.1:${port}`,
  });
  return table.replace([record], 0).added[0];
}

/** A request of a caller. */
export function request(): instanceClient.InstanceRequest {
  return {
    caller: {
      method: 'GET',
      target: '/a/b?c=d',
      path: '/a/b',
      host: 'h.example',
      attemptId: ATTEMPT,
      waitMilliseconds: 1000,
      key: undefined,
      promptTokens: 0,
      maxTokens: 0,
      sharedParts: [],
      lengthHint: undefined,
      lastEventId: undefined,
      resumedAttemptId: undefined,
      passedHeaders: ['Host', 'h.example', 'X-Rhubarbvane-Attempt-Id', ATTEMPT],
    },
    body: [],
    remainingMilliseconds: 1000,
    customer: 'c',
    urgency: undefined,
    lastEventId: undefined,
    continuation: undefined,
    backupAddress: undefined,
    isSentAgain: false,
  };
}

/** Answer or failure of a request. */
export interface Outcome {
  readonly error?: instanceClient.SendError;
  readonly status?: number;
  readonly body?: string;
  readonly failure?: string;
}

/** Reads the whole answer. */
export async function receive(
  exchange: instanceClient.Exchange,
): Promise<Outcome> {
  const result = await exchange.response;
  if (result.isErr()) {
    return {error: result.error};
  }
  const {status, body} = result.value;
  return new Promise(resolve => {
    let received = '';
    body.listen({
      onData: chunk => (received += chunk.toString()),
      onDidEnd: () => resolve({status, body: received}),
      onDidFail: () => resolve({status, failure: 'ended early'}),
    });
  });
}

/** Head of a JSON answer with the body. */
export function jsonHead(body: string): string[] {
  return [
    'HTTP/1.1 200 OK',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
}
