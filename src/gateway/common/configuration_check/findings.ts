/** What a check of a configuration finds, each with its place by name. */
import * as quotedText from '../../../base/common/quoted_text';

/** How much a finding matters. */
export enum Severity {
  /** Requests are refused, or parts of the file are not read. */
  Error = 'error',
  /** An entry has no effect. */
  Warning = 'warning',
}

/** One finding. */
export interface Finding {
  readonly severity: Severity;
  /** Kind and name of the entry, such as `route "drafts"`. */
  readonly place: string;
  readonly message: string;
}

/** A list that keeps its first entries and counts the others. */
export class BoundedList<T> {
  private readonly kept: T[] = [];
  private count = 0;

  constructor(private readonly limit: number) {}

  get items(): readonly T[] {
    return this.kept;
  }

  /** Number of entries that were added, also of those that are not kept. */
  get total(): number {
    return this.count;
  }

  add(item: T): void {
    this.count++;
    if (this.kept.length < this.limit) {
      this.kept.push(item);
    }
  }
}

/** Findings of one configuration. */
export class FindingList {
  private readonly errors: BoundedList<Finding>;
  private readonly warnings: BoundedList<Finding>;

  /** Keeps at most `limit` findings. */
  constructor(private readonly limit: number) {
    this.errors = new BoundedList(limit);
    this.warnings = new BoundedList(limit);
  }

  get errorCount(): number {
    return this.errors.total;
  }

  get warningCount(): number {
    return this.warnings.total;
  }

  /** The findings within the limit, errors first so that warnings do not displace them. */
  get items(): readonly Finding[] {
    return [...this.errors.items, ...this.warnings.items].slice(0, this.limit);
  }

  addError(place: string, message: string): void {
    this.errors.add({severity: Severity.Error, place, message});
  }

  addWarning(place: string, message: string): void {
    this.warnings.add({severity: Severity.Warning, place, message});
  }
}

/** An entry of a configuration. */
interface Named {
  readonly name: string;
}

/** Places of the entries of one kind. */
export class Places {
  /** How many entries up to and with this one have its name. */
  private readonly numbers = new Map<Named, number>();

  constructor(
    private readonly kind: string,
    entries: readonly Named[],
  ) {
    const seen = new Map<string, number>();
    for (const entry of entries) {
      const number = (seen.get(entry.name) ?? 0) + 1;
      seen.set(entry.name, number);
      this.numbers.set(entry, number);
    }
  }

  /** Returns the place of one of the entries. */
  of(entry: Named): string {
    const number = this.numbers.get(entry)!;
    const suffix = number === 1 ? '' : ` (number ${number} of this name)`;
    return `${this.kind} ${quotedText.quote(entry.name)}${suffix}`;
  }
}
