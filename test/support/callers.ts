/** Requests and waits shared by the process tests. */
import * as rxjs from 'rxjs';
import * as localDeployment from '../../standins/local_deployment';
import * as streamReader from '../../standins/stream_reader';

/** Authorization header of the first customer. */
export const BEARER = {
  authorization: `Bearer ${localDeployment.CUSTOMER_TOKEN}`,
};

/** A generation request with a fixed output length. */
export function generation(length: number, tag: string, extra = '') {
  return {
    model: localDeployment.MODEL,
    prompt: `${tag} [length=${length}]${extra}`,
    max_tokens: 60_000,
  };
}

/** Opens a stream and reads it in the background. */
export async function openStream(
  url: string,
  request: object,
  lastEventId = '',
  token = localDeployment.CUSTOMER_TOKEN,
): Promise<{reader: streamReader.StreamReader; ended: Promise<void>}> {
  const reader = new streamReader.StreamReader();
  await reader.open(url, token, request, lastEventId);
  return {reader, ended: reader.read()};
}

/** Resolves when the reader has received at least `count` tokens. */
export async function untilReceived(
  reader: streamReader.StreamReader,
  count: number,
): Promise<void> {
  if (reader.texts.length >= count) {
    return;
  }
  await rxjs.firstValueFrom(
    reader.onDidReceive.pipe(rxjs.filter(tokens => tokens >= count)),
  );
}

/** Sends a generation request and waits for the complete answer. */
export function complete(url: string, request: object) {
  return localDeployment.callJson(
    'POST',
    `${url}/v1/completions`,
    request,
    BEARER,
  );
}

/** Returns whether the texts are the first `length` tokens of a single run, in order. */
export function isOneRun(texts: readonly string[], length: number): boolean {
  const run = (texts[0] ?? '').split('-')[0];
  return (
    texts.length === length &&
    texts.every((text, index) => text === `${run}-${index}`)
  );
}

/** Polls until the condition holds. */
export async function until(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  while (!(await condition())) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

/** Returns the runs that an engine or service has recorded. */
export async function runsOf(url: string): Promise<Record<string, unknown>[]> {
  const record = await localDeployment.callJson('GET', `${url}/runs`);
  return record.body.runs as Record<string, unknown>[];
}
