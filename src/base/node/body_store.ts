/** Reads request bodies within the memory that all of them may take together. */
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as failure from '../common/failure';
import * as memoryAccount from '../common/memory_account';
import * as resultCode from '../common/result_code';
import * as blockPool from './block_pool';

const {ResultCode} = resultCode;

/** Memory of a body besides its bytes, in bytes. */
const OVERHEAD_BYTES = 512;
/** Time within which a body must arrive once it is read, in milliseconds. */
const BODY_TIMEOUT_MILLISECONDS = 30_000;
/** Delay after which a refused body may find room, in seconds. */
const RETRY_SECONDS = 1;

/** Bounds of the store for bodies of `maxBytes` in all. */
export function boundsFor(maxBytes: number): memoryAccount.MemoryBounds {
  return {
    maxBytes,
    maxHolders: Infinity,
    smallReserveBytes: maxBytes / 4,
    smallBytes: blockPool.SMALL_BYTES + OVERHEAD_BYTES,
  };
}

/** A whole body in one or more chunks, and the memory that it takes. */
export class HeldBody {
  private constructor(
    readonly chunks: readonly Buffer[],
    private readonly onRelease: () => void,
  ) {}

  /** A body that takes no memory of a store. */
  static of(bytes: Buffer): HeldBody {
    return new HeldBody(bytes.length === 0 ? [] : [bytes], () => undefined);
  }

  static inStore(chunks: readonly Buffer[], onRelease: () => void): HeldBody {
    return new HeldBody(chunks, onRelease);
  }

  /** The body as one buffer, which stays valid after `release`. */
  toBuffer(): Buffer {
    return Buffer.concat(this.chunks);
  }

  /** Gives the memory back; nothing may use the chunks any more. */
  release(): void {
    this.onRelease();
  }
}

/** Bodies of all requests that are being read or handled. */
export class BodyStore {
  /** @param onDidRefuse Called with the group of each body that found no room. */
  constructor(
    readonly account: memoryAccount.MemoryAccount,
    private readonly pool: blockPool.BlockPool,
    private readonly onDidRefuse: (group: string) => void = () => undefined,
  ) {}

  /**
   * Reads the body of a request up to a limit, within what its group may hold.
   * Errors: BodyTooLarge, MalformedRequest if it ends early, RequestTimeout,
   * Overloaded if there is no room.
   */
  read(
    request: http.IncomingMessage,
    limitBytes: number,
    group: string,
  ): Promise<neverthrow.Result<HeldBody, failure.Failure>> {
    if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
      return Promise.resolve(neverthrow.err(tooLarge(limitBytes)));
    }
    return new Promise(resolve => {
      const reading = new BodyReading(
        this.account,
        new blockPool.PooledBuffer(this.pool),
        group,
        result => {
          if (result.isErr() && result.error.code === ResultCode.Overloaded) {
            this.onDidRefuse(group);
          }
          resolve(result);
        },
      );
      reading.start(request, limitBytes);
    });
  }
}

function tooLarge(limitBytes: number): failure.Failure {
  return failure.notRun(
    ResultCode.BodyTooLarge,
    `body: over ${limitBytes} bytes`,
  );
}

/** One body while it is read, and afterwards until it is released. */
class BodyReading extends memoryAccount.MemoryHolder {
  private isSettled = false;
  private isReleased = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly account: memoryAccount.MemoryAccount,
    private readonly buffer: blockPool.PooledBuffer,
    readonly group: string,
    private readonly settle: (
      result: neverthrow.Result<HeldBody, failure.Failure>,
    ) => void,
  ) {
    super();
  }

  /** A body that is whole may be on its way to an instance, which could not be taken back. */
  get evictionRank(): number | undefined {
    return this.isSettled ? undefined : 0;
  }

  start(request: http.IncomingMessage, limitBytes: number): void {
    request.on('data', (chunk: Buffer) => this.add(chunk, limitBytes));
    request.once('end', () => this.finish());
    const endEarly = () =>
      this.refuse(
        failure.notRun(ResultCode.MalformedRequest, 'body: ended early'),
      );
    request.once('error', endEarly);
    request.once('close', endEarly);
    if (!request.complete) {
      this.timer = setTimeout(() => this.expire(), BODY_TIMEOUT_MILLISECONDS);
    }
  }

  evict(): void {
    this.refuse(
      failure.notRun(
        ResultCode.Overloaded,
        'body: no room for it among the bodies of other requests',
        RETRY_SECONDS,
      ),
    );
  }

  private expire(): void {
    this.refuse(
      failure.notRun(ResultCode.RequestTimeout, 'body: not whole in time'),
    );
  }

  private add(chunk: Buffer, limitBytes: number): void {
    if (this.isSettled) {
      return;
    }
    if (this.buffer.length + chunk.length > limitBytes) {
      return this.refuse(tooLarge(limitBytes));
    }
    const bytes = OVERHEAD_BYTES + this.buffer.memoryWith(chunk.length);
    if (!this.account.charge(this, bytes)) {
      return this.evict();
    }
    this.buffer.append(chunk);
  }

  private finish(): void {
    if (this.isSettled) {
      return;
    }
    this.isSettled = true;
    clearTimeout(this.timer);
    const chunks = this.buffer.chunks();
    this.settle(neverthrow.ok(HeldBody.inStore(chunks, () => this.release())));
  }

  private refuse(cause: failure.Failure): void {
    if (this.isSettled) {
      return;
    }
    this.isSettled = true;
    clearTimeout(this.timer);
    this.release();
    this.settle(neverthrow.err(cause));
  }

  private release(): void {
    if (this.isReleased) {
      return;
    }
    this.isReleased = true;
    this.buffer.release();
    this.account.release(this);
  }
}
