/** Keeps connections to replicas open between requests, and closes those that must not be reused. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as clientAgent from '../base/node/client_agent';
import * as wireNames from './wire_names';

const {Headers} = wireNames;

/** Maximum time for which an idle connection is kept, in milliseconds. */
const MAX_IDLE_MILLISECONDS = 4_000;
/** Margin by which the announced idle time is shortened, so that the replica does not close first. */
const IDLE_MARGIN_MILLISECONDS = 1_000;
/** Minimum idle time for which a connection is worth keeping, in milliseconds. */
const MIN_IDLE_MILLISECONDS = 200;

/** Time for which a connection may stay idle by the Keep-Alive header of its last answer, in milliseconds; negative if it is shorter than the margin. */
export function idleMilliseconds(keepAlive: string | undefined): number {
  const announced = /(?:^|[ ,])timeout=(\d+)/.exec(keepAlive ?? '')?.[1];
  if (announced === undefined) {
    return MAX_IDLE_MILLISECONDS;
  }
  const usable = Number(announced) * 1000 - IDLE_MARGIN_MILLISECONDS;
  return Math.min(MAX_IDLE_MILLISECONDS, usable);
}

interface AgentSocket extends net.Socket {
  readonly _httpMessage?: {readonly res?: http.IncomingMessage};
}

/** HTTP agent that pools connections by address. */
export class InstanceAgent extends clientAgent.ClientAgent {
  /** @param maxIdle Connections to all instances that are kept open without a request. */
  constructor(private readonly maxIdle = Infinity) {
    super({keepAlive: true, scheduling: 'lifo', noDelay: true});
  }

  /** Called by node:http when a request has ended; false closes the connection. */
  override keepSocketAlive(socket: AgentSocket): boolean {
    const response = socket._httpMessage?.res;
    const keepAlive = response?.headers['keep-alive'];
    const idle = idleMilliseconds(
      Array.isArray(keepAlive) ? keepAlive[0] : keepAlive,
    );
    if (
      this.idleCount >= this.maxIdle ||
      idle < MIN_IDLE_MILLISECONDS ||
      socket.readableLength > 0 ||
      (response !== undefined && isAnonymousRefusal(response))
    ) {
      return false;
    }
    socket.setTimeout(idle);
    socket.unref();
    socket.on('data', destroyOnUnexpectedData);
    return true;
  }

  private get idleCount(): number {
    return Object.values(this.freeSockets).reduce(
      (sum, sockets) => sum + (sockets?.length ?? 0),
      0,
    );
  }

  override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
    socket.off('data', destroyOnUnexpectedData);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

/** Whether the answer is a refusal without an attempt id, which could not be distinguished from that of the next request if it were written again. */
function isAnonymousRefusal({
  headers,
  statusCode,
}: http.IncomingMessage): boolean {
  const isRefusal = headers[Headers.notRun] !== undefined || statusCode === 421;
  return isRefusal && headers[Headers.attemptId] === undefined;
}

/** Closes an idle connection on which data arrives: it answers no request, and could not be distinguished from the next answer. */
function destroyOnUnexpectedData(this: net.Socket): void {
  this.destroy();
}
