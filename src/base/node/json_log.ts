/** Structured JSON log on standard output, rate-limited and non-blocking. */
import pino = require('pino');

/** Values that a log line carries. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Lines per second that a process may write; lines above the limit are dropped and counted. */
const MAX_LINES_PER_SECOND = 400;
/** Lines that may be written in one burst after an idle period. */
const MAX_BURST_LINES = 1_000;
/** Lines per second about one event that clients cause; the others are dropped and counted, so that they leave room for those about decisions. */
const MAX_CLIENT_LINES_PER_SECOND = 20;
/** Bytes buffered before a write. */
const BUFFER_BYTES = 8_192;
/** Bytes that may be pending for a slow reader before lines are dropped. */
const MAX_PENDING_BYTES = 1_048_576;
/** Longest time for which lines are buffered, in milliseconds. */
const FLUSH_MILLISECONDS = 250;

/** Writes one line for each decision and each state change. */
export class JsonLog {
  private readonly destination: ReturnType<typeof pino.destination>;
  private readonly writer: pino.Logger;
  private tokens = MAX_BURST_LINES;
  private refilledAt = performance.now();
  private dropped = 0;
  /** Lines about events that clients cause, in the current second. */
  private clientLines = new Map<string, number>();
  private clientLinesSince = performance.now();

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
    // A closed output pipe must not end the process.
    this.destination.on('error', () => this.dropped++);
    setInterval(() => this.flush(), FLUSH_MILLISECONDS).unref();
  }

  /** Writes a line unless the rate limit is reached; important lines are always written. */
  write(event: string, fields: LogFields, isImportant = false): void {
    if (!this.takeToken() && !isImportant) {
      this.dropped++;
      return;
    }
    this.writer.info(fields, event);
  }

  /** Writes a line about an event that clients can cause at will. */
  writeForClient(event: string, fields: LogFields): void {
    const now = performance.now();
    if (now - this.clientLinesSince >= 1_000) {
      this.clientLines.clear();
      this.clientLinesSince = now;
    }
    const count = (this.clientLines.get(event) ?? 0) + 1;
    this.clientLines.set(event, count);
    if (count > MAX_CLIENT_LINES_PER_SECOND) {
      this.dropped++;
      return;
    }
    this.write(event, fields);
  }

  /** Flushes buffered lines before the process ends. */
  end(): void {
    this.reportDropped();
    try {
      this.destination.flushSync();
    } catch {
      // The output has no reader any more, so there is nowhere to report the error.
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
