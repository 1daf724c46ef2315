/** Reads INI files and validates them against a schema. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as ini from 'ini';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as failure from '../common/failure';
import * as resultCode from '../common/result_code';

/** Schema of a number in a settings file. */
export function numberSetting(
  minimum: number,
  maximum: number,
): zod.ZodType<number, string> {
  return zod.z
    .string()
    .regex(/^-?\d+(\.\d+)?$/, `a number from ${minimum} to ${maximum}`)
    .transform(Number)
    .refine(
      value => value >= minimum && value <= maximum,
      `a number from ${minimum} to ${maximum}`,
    );
}

/** Schema of a number without fraction in a settings file. */
export function wholeNumberSetting(
  minimum: number,
  maximum: number,
): zod.ZodType<number, string> {
  return numberSetting(minimum, maximum).refine(
    Number.isInteger,
    `a whole number from ${minimum} to ${maximum}`,
  );
}

/** Schema of a boolean in a settings file. */
export function flagSetting(): zod.ZodType<boolean, boolean | string> {
  return zod.z
    .union([zod.z.boolean(), zod.z.enum(['true', 'false', 'yes', 'no'])], {
      error: 'true or false',
    })
    .transform(value => value === true || value === 'true' || value === 'yes');
}

/** Schema of a host and port such as 127.0.0.1:8080. */
export function addressSetting(): zod.ZodType<string, string> {
  return zod.z
    .string()
    .refine(
      isAddress,
      'an IP address and port such as 127.0.0.1:8080 (port 0 to 65535)',
    );
}

function isAddress(value: string): boolean {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(
    value,
  );
  return match !== null && Number(match[2]) <= 65535;
}

/** Reads a text file. Errors: SettingsUnreadable. */
export function readTextFile(
  path: string,
): neverthrow.Result<string, failure.Failure> {
  try {
    return neverthrow.ok(fs.readFileSync(path, 'utf8'));
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    const message = `${path}: cannot be read (${reason})`;
    return neverthrow.err(
      failure.notRun(resultCode.ResultCode.SettingsUnreadable, message),
    );
  }
}

/** Reads and validates a settings file. Errors: SettingsUnreadable, SettingsInvalid. */
export function readSettings<T>(
  path: string,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, failure.Failure> {
  return readTextFile(path).andThen(text => parseSettings(path, text, schema));
}

/** Validates the text of a settings file. Errors: SettingsInvalid with file, section, key, value and expected value. */
export function parseSettings<T>(
  path: string,
  text: string,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, failure.Failure> {
  const raw = plainObject(ini.parse(text));
  const checked = schema.safeParse(raw);
  if (checked.success) {
    return neverthrow.ok(checked.data);
  }
  const message = describeIssue(path, raw, checked.error.issues[0]);
  return neverthrow.err(
    failure.notRun(resultCode.ResultCode.SettingsInvalid, message),
  );
}

/** A place of a settings file that does not match the schema. Has no value, since it may be a secret. */
export interface SettingsIssue {
  /** Section, its parts and the key. */
  readonly path: readonly string[];
  readonly message: string;
}

/** Validates the text of a settings file like `parseSettings`. Errors: all issues. */
export function checkSettings<T>(
  text: string,
  schema: zod.ZodType<T>,
): neverthrow.Result<T, SettingsIssue[]> {
  const checked = schema.safeParse(plainObject(ini.parse(text)));
  return checked.success
    ? neverthrow.ok(checked.data)
    : neverthrow.err(checked.error.issues.flatMap(issuesOf));
}

function issuesOf(issue: zod.z.core.$ZodIssue): SettingsIssue[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path: [...path, key],
      message: 'unknown key',
    }));
  }
  return [{path, message: `expected ${issue.message}`}];
}

function plainObject(parsed: object): object {
  return JSON.parse(JSON.stringify(parsed)) as object;
}

function describeIssue(
  path: string,
  raw: object,
  issue: zod.z.core.$ZodIssue,
): string {
  if (issue.code === 'unrecognized_keys') {
    const place = describePlace([...issue.path, issue.keys[0]]);
    return `${path}: ${place}: unknown key`;
  }
  const value = valueAt(raw, issue.path);
  const actual = value === undefined ? 'nothing' : JSON.stringify(value);
  return `${path}: ${describePlace(issue.path)}: saw ${actual}, expected ${issue.message}`;
}

function describePlace(path: readonly PropertyKey[]): string {
  if (path.length < 2) {
    return `section [${path.map(String).join('.')}]`;
  }
  const section = path.slice(0, -1).map(String).join('.');
  return `section [${section}], key ${String(path[path.length - 1])}`;
}

function valueAt(raw: unknown, path: readonly PropertyKey[]): unknown {
  let value = raw;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}

/** Returns the SHA-256 of a secret in lower-case hexadecimal. */
export function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/** Compares two secrets in constant time. */
export function secretsEqual(left: string, right: string): boolean {
  const leftDigest = crypto.createHash('sha256').update(left).digest();
  const rightDigest = crypto.createHash('sha256').update(right).digest();
  return crypto.timingSafeEqual(leftDigest, rightDigest);
}
