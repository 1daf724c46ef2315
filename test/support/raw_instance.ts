/** Instances that answer with given bytes, whether or not these are HTTP. */
import * as net from 'node:net';
import * as ava from 'ava';
import * as instanceTable from '../../src/gateway/common/instance_table';
import * as gatewayRecords from './gateway_records';

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
