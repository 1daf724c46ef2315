/** The unfinished generations of one entry. */
import * as generations from './generation';

/** Looks up generations by attempt and by endpoint instance. */
export class GenerationTable {
  private readonly generations = new Set<generations.Generation>();
  private readonly byAttempt = new Map<string, generations.Generation>();

  get size(): number {
    return this.generations.size;
  }

  add(generation: generations.Generation): void {
    this.generations.add(generation);
  }

  has(generation: generations.Generation): boolean {
    return this.generations.has(generation);
  }

  /** Routes the output of an attempt to a generation. */
  setReceiver(attempt: string, generation: generations.Generation): void {
    this.byAttempt.set(attempt, generation);
  }

  /** Discards further output of an attempt. */
  clearReceiver(attempt: string): void {
    this.byAttempt.delete(attempt);
  }

  receiver(attempt: string): generations.Generation | undefined {
    return this.byAttempt.get(attempt);
  }

  remove(generation: generations.Generation): void {
    this.generations.delete(generation);
    const attempt = generation.machine.target?.attempt;
    if (attempt !== undefined && this.byAttempt.get(attempt) === generation) {
      this.byAttempt.delete(attempt);
    }
  }

  /** Generations whose current attempt runs on the instance. */
  onInstance(instance: string): generations.Generation[] {
    return [...this.generations].filter(
      generation => generation.machine.target?.instance === instance,
    );
  }
}
