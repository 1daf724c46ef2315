/** Structured log lines through the debug library, written only on state changes. */
import * as debug from 'debug';

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs the state changes of one component of a process. */
export class Logger {
  private readonly write: debug.Debugger;

  constructor(scope: string) {
    this.write = debug(`rhubarbvane:${scope}`);
  }

  /** Logs an event name with its fields as key=value. */
  info(event: string, fields: LogFields = {}): void {
    if (!this.write.enabled) {
      return;
    }
    const rendered = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
    this.write('%s %s', event, rendered.join(' '));
  }
}

/** Enables logging for scopes that match a pattern of the debug library. */
export function enableLogs(pattern: string): void {
  debug.enable(pattern);
}
