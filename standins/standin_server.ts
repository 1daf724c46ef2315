/** Functions shared by the stand-ins: request bodies, the line that announces the URL, and arguments. */
import * as http from 'node:http';
import * as memoryAccount from '../src/base/common/memory_account';
import * as blockPool from '../src/base/node/block_pool';
import * as bodyStore from '../src/base/node/body_store';

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

const bodies = new bodyStore.BodyStore(
  new memoryAccount.MemoryAccount(bodyStore.boundsFor(64 * BODY_LIMIT_BYTES)),
  new blockPool.BlockPool(),
);

/** Reads the body as text. Rejects when the body cannot be read completely. */
export async function readBodyText(
  request: http.IncomingMessage,
): Promise<string> {
  const body = await bodies.read(request, BODY_LIMIT_BYTES, '');
  if (body.isErr()) {
    throw new Error(body.error.message);
  }
  const text = body.value.toBuffer().toString('utf8');
  body.value.release();
  return text;
}

/** Reads the body as JSON; returns an empty object for an empty body. */
export async function readBodyJson<T>(
  request: http.IncomingMessage,
): Promise<T> {
  return JSON.parse((await readBodyText(request)) || '{}') as T;
}

/** Prints the URL in use for the parent process, and exits on SIGTERM and SIGINT. */
export function announce(address: string): void {
  process.stdout.write(JSON.stringify({url: `http://${address}`}) + '\n');
  process.on('SIGTERM', () => process.exit(0));
  process.on('SIGINT', () => process.exit(0));
}

/** Returns the value of the argument `--name value`, or the fallback when it is missing. */
export function readArgument(name: string, fallback: string): string {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? fallback : process.argv[index + 1];
}
