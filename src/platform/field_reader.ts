/** Reads the fields of stored entries, and reports those that cannot be read. */

/** Fields of a JSON object. */
export type Fields = Readonly<Record<string, unknown>>;

/** Receives what decoding leaves out or replaces: the place of the entry and what is wrong. Has no values that may be secret. */
export type IssueListener = (place: string, message: string) => void;

export function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the text; undefined if the value is another or an empty one. */
export function text(value: unknown): string | undefined {
  return typeof value === 'string' && value.length > 0 ? value : undefined;
}

/** Returns the number, or the fallback if the value is another one or not finite. */
export function number(value: unknown, fallback = 0): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

export function list(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Whether a field has no value; writers may say so by null. */
export function isAbsent(value: unknown): value is undefined | null {
  return value === undefined || value === null;
}

/** Returns the type of a JSON value in words. */
export function typeOf(value: unknown): string {
  if (isAbsent(value)) {
    return 'nothing';
  }
  if (Array.isArray(value)) {
    return 'a list';
  }
  switch (typeof value) {
    case 'string':
      return value === '' ? 'an empty text' : 'a text';
    case 'number':
      return Number.isFinite(value) ? 'a number' : 'a number without bound';
    case 'boolean':
      return 'a boolean';
    default:
      return 'an object';
  }
}

/** Range of a number; a value outside of it is replaced by its nearest bound. */
export interface NumberRange {
  readonly fallback?: number;
  readonly minimum?: number;
  readonly maximum?: number;
}

/** Reads the fields of one entry. */
export class FieldReader {
  /** Reports an issue of the entry. Undefined without a listener, so that `report?.()` builds no message: a million of them would block a gateway for seconds. */
  readonly report: ((message: string) => void) | undefined;

  constructor(
    private readonly fields: Fields,
    /** Returns kind and name of the entry. */
    private readonly place: () => string,
    private readonly onIssue: IssueListener | undefined,
    /** Where in the entry the fields are. */
    private readonly prefix = '',
  ) {
    this.report =
      onIssue && (message => onIssue(this.place(), `${prefix}${message}`));
  }

  value(name: string): unknown {
    return this.fields[name];
  }

  /** Returns a text without which the entry is left out. */
  requiredText(name: string): string | undefined {
    const value = this.fields[name];
    if (text(value) === undefined) {
      this.report?.(
        `${name}: saw ${typeOf(value)}, expected a text; the entry is left out`,
      );
    }
    return text(value);
  }

  optionalText(name: string): string | undefined {
    const value = this.fields[name];
    if (!isAbsent(value) && typeof value !== 'string') {
      this.report?.(
        `${name}: saw ${typeOf(value)}, expected a text; it is ignored`,
      );
    }
    return text(value);
  }

  optionalNumber(name: string): number | undefined {
    const value = this.fields[name];
    if (isAbsent(value) || typeof value === 'number') {
      return value ?? undefined;
    }
    this.report?.(
      `${name}: saw ${typeOf(value)}, expected a number; it is ignored`,
    );
    return undefined;
  }

  number(
    name: string,
    {fallback = 0, minimum = -Infinity, maximum = Infinity}: NumberRange = {},
  ): number {
    const value = this.fields[name];
    const read = number(value, fallback);
    const used = Math.min(maximum, Math.max(minimum, read));
    if (!isAbsent(value) && read !== value) {
      this.report?.(
        `${name}: saw ${typeOf(value)}, expected a number; ${used} is used`,
      );
    } else if (used !== read) {
      const side = read < minimum ? 'at least' : 'at most';
      this.report?.(
        `${name}: saw ${read}, expected ${side} ${used}; ${used} is used`,
      );
    }
    return used;
  }

  /** Whether the field is true. */
  flag(name: string): boolean {
    const value = this.fields[name];
    if (!isAbsent(value) && typeof value !== 'boolean') {
      this.report?.(
        `${name}: saw ${typeOf(value)}, expected true or false; false is used`,
      );
    }
    return value === true;
  }

  list(name: string): readonly unknown[] {
    const value = this.fields[name];
    if (!isAbsent(value) && !Array.isArray(value)) {
      this.report?.(
        `${name}: saw ${typeOf(value)}, expected a list; it is ignored`,
      );
    }
    return list(value);
  }

  /** Returns the texts of a list without its other values. */
  texts(name: string): string[] {
    return this.list(name).filter((each, index): each is string => {
      if (typeof each !== 'string') {
        this.report?.(
          `${name}, entry ${index + 1}: saw ${typeOf(each)}, expected a text; it is left out`,
        );
      }
      return typeof each === 'string';
    });
  }

  /** Returns a reader of a nested object; undefined if there is none. */
  object(name: string): FieldReader | undefined {
    const value = this.fields[name];
    if (isFields(value)) {
      return this.nested(name, value);
    }
    if (!isAbsent(value)) {
      this.report?.(
        `${name}: saw ${typeOf(value)}, expected an object; it is ignored`,
      );
    }
    return undefined;
  }

  /** Returns readers of the objects of a list without its other values. */
  objects(name: string): FieldReader[] {
    const readers: FieldReader[] = [];
    for (const [index, value] of this.list(name).entries()) {
      const path = `${name}, entry ${index + 1}`;
      if (isFields(value)) {
        readers.push(this.nested(path, value));
      } else {
        this.report?.(
          `${path}: saw ${typeOf(value)}, expected an object; it is left out`,
        );
      }
    }
    return readers;
  }

  private nested(path: string, fields: Fields): FieldReader {
    const prefix = `${this.prefix}${path}, `;
    return new FieldReader(fields, this.place, this.onIssue, prefix);
  }
}
