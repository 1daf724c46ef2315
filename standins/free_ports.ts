/** Finds free ports for programs whose settings must name a port before they bind it. */
import * as dgram from 'node:dgram';
import * as net from 'node:net';

/** Returns a free TCP port of the address. */
export async function freeStreamPort(ip = '127.0.0.1'): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Returns a free UDP port of the loopback address. */
export async function freeDatagramPort(): Promise<number> {
  const socket = dgram.createSocket('udp4');
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(resolve));
  return port;
}
