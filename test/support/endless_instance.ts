/** Instances that answer each request with bytes that do not end. */
import * as net from 'node:net';

/** Size to which parts are repeated before they are written, in bytes. */
const BLOCK_BYTES = 65_536;

/** What such an instance sends. */
export interface EndlessAnswer {
  /** Bytes that are sent once, for the attempt id of the request. */
  readonly head: (attemptId: string) => string;
  /** Bytes that are sent again and again. */
  readonly part: string;
}

/** An instance that sends until its connections are closed. */
export class EndlessInstance {
  private readonly block: Buffer;
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => this.serve(socket));

  constructor(private readonly answer: EndlessAnswer) {
    const {part} = answer;
    this.block = Buffer.from(
      part.repeat(Math.ceil(BLOCK_BYTES / part.length)),
      'latin1',
    );
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach(socket => socket.destroy());
  }

  private serve(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    socket.once('data', request => {
      const id = /^x-rhubarbvane-attempt-id: *(\S+)/im.exec(String(request));
      socket.write(this.answer.head(id?.[1] ?? ''));
      this.send(socket);
    });
  }

  private send(socket: net.Socket): void {
    socket.write(this.block, () => setImmediate(() => this.sendMore(socket)));
  }

  private sendMore(socket: net.Socket): void {
    if (!socket.destroyed) {
      this.send(socket);
    }
  }
}
