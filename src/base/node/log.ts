/** Structured log lines, written only on changes of state. */
import * as debug from 'debug';

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line for each change of state in one part of a process. */
export class Logger {
  private readonly write: debug.Debugger;

  constructor(scope: string) {
    this.write = debug(`rhubarbvane:${scope}`);
  }

  /** Writes an event name with its fields in key=value form. */
  change(event: string, fields: LogFields = {}): void {
    if (!this.write.enabled) {
      return;
    }
    const rendered = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
    this.write('%s %s', event, rendered.join(' '));
  }
}

/** Turns logging on for scopes that match the pattern of the debug library. */
export function enableLogs(pattern: string): void {
  debug.enable(pattern);
}
