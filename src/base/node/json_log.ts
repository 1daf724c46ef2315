/** Structured log lines in JSON on standard output: bounded in volume, and never blocking. */
import pino = require('pino');

/** Values that a log line carries. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Lines a second that a process may write; the rest is counted. */
const MAX_LINES_PER_SECOND = 400;
/** Lines that may be written at once after a quiet time. */
const MAX_BURST_LINES = 1_000;
/** Bytes collected before they are written. */
const BUFFER_BYTES = 8_192;
/** Bytes that may wait for a slow reader before lines are dropped. */
const MAX_PENDING_BYTES = 1_048_576;
/** Longest time for which lines are collected, in milliseconds. */
const FLUSH_MILLISECONDS = 250;

/** Writes one line for each decision and change of belief. */
export class JsonLog {
  private readonly destination: ReturnType<typeof pino.destination>;
  private readonly writer: pino.Logger;
  private tokens = MAX_BURST_LINES;
  private refilledAt = performance.now();
  private dropped = 0;

  /** Writes to standard output, or to the file descriptor or path given. */
  constructor(base: LogFields, target: number | string = 1) {
    this.destination = pino.destination({
      dest: target,
      sync: false,
      minLength: BUFFER_BYTES,
      maxLength: MAX_PENDING_BYTES,
    });
    this.writer = pino(
      {base, timestamp: pino.stdTimeFunctions.epochTime},
      this.destination,
    );
    this.destination.on('drop', () => this.dropped++);
    // A reader that went away must not end the process.
    this.destination.on('error', () => this.dropped++);
    setInterval(() => this.flush(), FLUSH_MILLISECONDS).unref();
  }

  /** Writes a line, unless the volume is used up; important lines are always written. */
  write(event: string, fields: LogFields, isImportant = false): void {
    if (!this.takeToken() && !isImportant) {
      this.dropped++;
      return;
    }
    this.writer.info(fields, event);
  }

  /** Writes what is collected before the process ends. */
  end(): void {
    this.reportDropped();
    try {
      this.destination.flushSync();
    } catch {
      // Nobody reads any more; there is nowhere to report it.
    }
  }

  private flush(): void {
    this.reportDropped();
    this.destination.flush();
  }

  private reportDropped(): void {
    if (this.dropped > 0) {
      this.writer.info({lines: this.dropped}, 'log-lines-dropped');
      this.dropped = 0;
    }
  }

  private takeToken(): boolean {
    const now = performance.now();
    const refill = ((now - this.refilledAt) * MAX_LINES_PER_SECOND) / 1000;
    this.tokens = Math.min(MAX_BURST_LINES, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens--;
    return true;
  }
}
