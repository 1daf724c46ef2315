/** Calls to the platform's metadata store over HTTP. */
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as boundedBody from '../base/node/bounded_body';
import * as clientAgent from '../base/node/client_agent';
import * as responseGuard from '../base/node/response_guard';
import * as stateSource from '../gateway/common/state_source';
import * as fieldReader from './field_reader';
import * as jsonSlices from './json_slices';
import * as objectCodec from './object_codec';
import * as wireNames from './wire_names';

/** Timeout of a read or write, in milliseconds; the store answers in about 4 ms. */
export const CALL_TIMEOUT_MILLISECONDS = 600;

/** Maximum time for an answer to arrive after its head, in milliseconds: large ones take seconds on a narrow link. */
const TRANSFER_TIMEOUT_MILLISECONDS = 5_000;

/** Maximum number of connections: one for each watch, the others for reads and writes in between. */
const MAX_CONNECTIONS = 6;

/** Maximum size of an answer, in bytes; the store limits its pages and objects to about a megabyte. */
const MAX_ANSWER_BYTES = 8_388_608;

/** Address of the store, and a listener that is notified of each call. */
export interface StoreOptions {
  /** IP and port. */
  readonly address: string;
  readonly onDidCall?: (operation: string) => void;
}

/** Fields of a JSON body. */
export type Body = Readonly<Record<string, unknown>>;

/** Fields of a successful answer. */
export interface StoreRead {
  readonly fields: Body;
  /** Era of the store, which rises by one with each restore from a copy; undefined if the answer names none. */
  readonly era: number | undefined;
}

/** Text of a successful answer. */
export interface StoreText {
  /** Members of the answer, which are not parsed yet. */
  readonly members: Map<string, jsonSlices.JsonSlice>;
  readonly text: jsonSlices.JsonSlice;
  readonly era: number | undefined;
}

/** One call. */
export interface StoreCall {
  /** Name in metrics. */
  readonly operation: string;
  readonly method?: string;
  readonly path: string;
  /** JSON value to send; undefined to send none. */
  readonly content?: unknown;
  /** Time within which the head of the answer must arrive. */
  readonly timeoutMilliseconds?: number;
  /** Called if the answer is larger than any that is read. */
  readonly onDidExceed?: () => void;
}

/** Status and body of an answer. */
export interface StoreAnswer {
  readonly status: number;
  readonly era: number | undefined;
  readonly body: Buffer;
}

/** Keeps connections to the store open between calls. */
export class StoreConnection {
  private readonly agent = new clientAgent.ClientAgent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS,
  });

  constructor(private readonly options: StoreOptions) {}

  /** Returns the JSON fields of a successful answer. */
  async read(call: StoreCall): stateSource.SourceResult<StoreRead> {
    const answer = await this.sendSuccessfully(call);
    return answer.andThen(({body, era}) =>
      parseBody(body).map(fields => ({fields, era})),
    );
  }

  /** Returns the value that is decoded from a successful answer; Malformed if its text is, if there is no value, or if decoding throws. */
  async readText<T>(
    call: StoreCall,
    decode: (
      text: StoreText,
    ) => neverthrow.Result<T, stateSource.SourceError> | undefined,
  ): stateSource.SourceResult<T> {
    let isTooLarge = false;
    const onDidExceed = () => (isTooLarge = true);
    const answer = await this.sendSuccessfully({...call, onDidExceed});
    return answer
      .mapErr(error => (isTooLarge ? stateSource.SourceError.TooLarge : error))
      .andThen(
        ({body, era}) =>
          decodeText(body, era, decode) ??
          neverthrow.err(stateSource.SourceError.Malformed),
      );
  }

  private async sendSuccessfully(
    call: StoreCall,
  ): stateSource.SourceResult<StoreAnswer> {
    const answer = await this.send(call);
    const error = answer && errorOfStatus(answer.status);
    return answer === undefined || error !== undefined
      ? neverthrow.err(error ?? stateSource.SourceError.Unreachable)
      : neverthrow.ok(answer);
  }

  /** Returns the answer whatever its status; undefined if there was none in time. */
  send(call: StoreCall): Promise<StoreAnswer | undefined> {
    const {operation, method, path, content} = call;
    this.options.onDidCall?.(operation);
    const text = content === undefined ? undefined : JSON.stringify(content);
    return new Promise(resolve => {
      const finish = (answer: StoreAnswer | undefined) => {
        clearTimeout(timer);
        clearTimeout(transferTimer);
        resolve(answer);
      };
      const expire = () => {
        finish(undefined);
        request.destroy();
      };
      let transferTimer: NodeJS.Timeout | undefined;
      const request = http.request(
        `http://${this.options.address}${path}`,
        {
          agent: this.agent,
          method: method ?? 'GET',
          headers:
            text === undefined
              ? {}
              : {
                  'Content-Type': 'application/json',
                  'Content-Length': Buffer.byteLength(text),
                },
        },
        response => {
          const status = response.statusCode ?? 0;
          const era = decodeEra(response.headers[wireNames.Headers.storeEra]);
          clearTimeout(timer);
          timer = setTimeout(expire, CALL_TIMEOUT_MILLISECONDS);
          transferTimer = setTimeout(expire, TRANSFER_TIMEOUT_MILLISECONDS);
          let received = 0;
          response.on('data', (chunk: Buffer) => {
            timer.refresh();
            received += chunk.length;
            if (received > MAX_ANSWER_BYTES) {
              call.onDidExceed?.();
            }
          });
          void boundedBody
            .collect(response, MAX_ANSWER_BYTES)
            .then(body => finish(body && {status, era, body}));
        },
      );
      responseGuard.guard(request);
      let timer = setTimeout(
        expire,
        call.timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS,
      );
      request.once('error', () => finish(undefined));
      request.end(text);
    });
  }

  /** Closes all connections. */
  dispose(): void {
    this.agent.destroy();
  }
}

function decodeText<T>(
  body: Buffer,
  era: number | undefined,
  decode: (text: StoreText) => T | undefined,
): T | undefined {
  try {
    const text = jsonSlices.JsonSlice.of(body);
    return text.isObject
      ? decode({text, members: text.members(), era})
      : undefined;
  } catch {
    return undefined;
  }
}

function decodeEra(value: string | string[] | undefined): number | undefined {
  const era = typeof value === 'string' && value !== '' ? Number(value) : NaN;
  return Number.isSafeInteger(era) ? era : undefined;
}

function errorOfStatus(status: number): stateSource.SourceError | undefined {
  if (status === 200) {
    return undefined;
  }
  if (status === 410) {
    return stateSource.SourceError.HistoryLost;
  }
  if (status === 429 || status === 503) {
    return stateSource.SourceError.Busy;
  }
  return status === 404
    ? stateSource.SourceError.Missing
    : stateSource.SourceError.Malformed;
}

/** Returns the fields of a JSON object; Malformed if the body is none. */
export function parseBody(
  bytes: Buffer,
): neverthrow.Result<Body, stateSource.SourceError> {
  const value = objectCodec.parseJson(bytes.toString('utf8'));
  return fieldReader.isFields(value)
    ? neverthrow.ok(value)
    : neverthrow.err(stateSource.SourceError.Malformed);
}
