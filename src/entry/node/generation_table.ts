/** The generations of one entry that have no end yet. */
import * as generation from './generation';

/** Finds generations by attempt and by endpoint instance. */
export class GenerationTable {
  private readonly rows = new Set<generation.Generation>();
  private readonly byAttempt = new Map<string, generation.Generation>();

  get size(): number {
    return this.rows.size;
  }

  add(row: generation.Generation): void {
    this.rows.add(row);
  }

  has(row: generation.Generation): boolean {
    return this.rows.has(row);
  }

  /** Directs the output of an attempt to a generation. */
  direct(attempt: string, row: generation.Generation): void {
    this.byAttempt.set(attempt, row);
  }

  /** Drops the output of an attempt from now on. */
  undirect(attempt: string): void {
    this.byAttempt.delete(attempt);
  }

  receiver(attempt: string): generation.Generation | undefined {
    return this.byAttempt.get(attempt);
  }

  remove(row: generation.Generation): void {
    this.rows.delete(row);
    const attempt = row.machine.target?.attempt;
    if (attempt !== undefined && this.byAttempt.get(attempt) === row) {
      this.byAttempt.delete(attempt);
    }
  }

  /** Generations whose present attempt is at the instance. */
  at(instance: string): generation.Generation[] {
    return [...this.rows].filter(
      row => row.machine.target?.instance === instance,
    );
  }
}
