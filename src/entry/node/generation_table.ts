/** The unfinished generations of one entry. */
import * as generation from './generation';

/** Looks up generations by attempt and by endpoint instance. */
export class GenerationTable {
  private readonly generations = new Set<generation.Generation>();
  private readonly byAttempt = new Map<string, generation.Generation>();

  get size(): number {
    return this.generations.size;
  }

  add(row: generation.Generation): void {
    this.generations.add(row);
  }

  has(row: generation.Generation): boolean {
    return this.generations.has(row);
  }

  /** Routes the output of an attempt to a generation. */
  setReceiver(attempt: string, row: generation.Generation): void {
    this.byAttempt.set(attempt, row);
  }

  /** Discards further output of an attempt. */
  clearReceiver(attempt: string): void {
    this.byAttempt.delete(attempt);
  }

  receiver(attempt: string): generation.Generation | undefined {
    return this.byAttempt.get(attempt);
  }

  remove(row: generation.Generation): void {
    this.generations.delete(row);
    const attempt = row.machine.target?.attempt;
    if (attempt !== undefined && this.byAttempt.get(attempt) === row) {
      this.byAttempt.delete(attempt);
    }
  }

  /** Generations whose current attempt runs on the instance. */
  onInstance(instance: string): generation.Generation[] {
    return [...this.generations].filter(
      row => row.machine.target?.instance === instance,
    );
  }
}
