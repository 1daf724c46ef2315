/** Connections of HTTP clients that take little memory for what they receive. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as stream from 'node:stream';
import * as bufferCollector from './buffer_collector';

/** Bytes that are read from a connection at a time, and at most while its response is not read. */
const READ_BYTES = 16_384;

/** Receives the bytes of all connections, one after the other. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/**
 * An agent whose connections are read into one buffer. Nothing is read from a
 * paused connection: each small packet would take an object of its own.
 */
export class ClientAgent extends http.Agent {
  override createConnection(options: http.ClientRequestArgs): stream.Duplex {
    const socket: net.Socket = net.createConnection({
      ...(options as net.TcpNetConnectOpts),
      onread: {
        buffer: readBuffer,
        callback: length => {
          bufferCollector.recordInput(length);
          const bytes = Buffer.allocUnsafe(length);
          readBuffer.copy(bytes, 0, 0, length);
          return socket.push(bytes);
        },
      },
    });
    return socket;
  }
}
