/**
 * Estimates the prompt tokens that engines still have to read. Loads count the
 * prompts of all runs without an event, also of those that were read long ago
 * and generate their first event; by the time that reading takes, those are
 * no longer ahead of a new prompt.
 */

/** Prompt tokens that an engine reads in a millisecond while it generates tokens of other runs; half of what it reads alone. */
export const READ_TOKENS_PER_MILLISECOND = 7;
/** Engines with an estimate; the oldest are forgotten first. */
const MAX_ENGINES = 4_096;

interface Backlog {
  /** Prompt tokens of runs without an event, as seen last. */
  readonly seen: number;
  readonly unread: number;
  readonly at: number;
}

/** Unread prompt tokens by instance id. */
export class ReadingBacklog {
  private readonly backlogs = new Map<string, Backlog>();

  /** Prompt tokens still to be read, when so many belong to runs without an event. */
  tokens(instanceId: string, prefillTokens: number, now: number): number {
    const last = this.backlogs.get(instanceId) ?? {seen: 0, unread: 0, at: now};
    const read = (now - last.at) * READ_TOKENS_PER_MILLISECOND;
    const added = Math.max(0, prefillTokens - last.seen);
    const unread = Math.min(
      prefillTokens,
      Math.max(0, last.unread - read) + added,
    );
    this.backlogs.delete(instanceId);
    this.backlogs.set(instanceId, {seen: prefillTokens, unread, at: now});
    if (this.backlogs.size > MAX_ENGINES) {
      this.backlogs.delete(this.backlogs.keys().next().value!);
    }
    return unread;
  }
}
