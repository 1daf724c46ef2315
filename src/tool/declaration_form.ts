/** Checks of declaration files. */
import * as neverthrow from 'neverthrow';
import * as changeSystem from '../decision/common/change_system';
import * as configurationDifferences from '../gateway/common/configuration_check/configuration_differences';
import * as quotedText from '../base/common/quoted_text';
import * as findings from '../gateway/common/configuration_check/findings';
import * as checkedFile from './checked_file';
import * as declarations from './declarations';

/** Key whose value is shown neither by findings nor by differences. */
const SECRET_KEY = 'token_sha256';

/** A file of declarations, checked beside those in force if they are given. */
export class DeclarationForm extends checkedFile.FileForm<declarations.DeclarationFile> {
  protected decode(
    text: string,
    found: findings.FindingList,
  ): neverthrow.Result<declarations.DeclarationFile | undefined, string> {
    try {
      const checked = declarations.checkDeclarations(text);
      if (checked.isOk()) {
        return neverthrow.ok(checked.value);
      }
      for (const {path, message} of checked.error) {
        const [kind = 'file', name, ...keys] = path;
        const text = [...keys.map(shownKey), message].join(': ');
        found.addError(placeOf(shownKey(kind), name), text);
      }
      return neverthrow.ok(undefined);
    } catch (error) {
      // Sections nested thousands of levels deep exhaust the stack of the INI and schema libraries.
      if (error instanceof RangeError) {
        return neverthrow.err('its sections are nested too deeply');
      }
      throw error;
    }
  }

  /** Objects that the file does not name stay in force, so references to them are accepted. */
  protected findProblems(
    content: declarations.DeclarationFile,
    inForce: declarations.DeclarationFile | undefined,
    found: findings.FindingList,
  ): void {
    const problems = changeSystem.findProblems(
      declarations.toObjects(content),
      inForce === undefined ? [] : declarations.toObjects(inForce),
    );
    for (const {object, problem} of problems) {
      const kind = declarations.kindName(object.kind);
      found.addError(placeOf(kind, object.name), quotedText.printable(problem));
    }
    const holders = new Map<string, string>();
    for (const [name, customer] of Object.entries(content.customer)) {
      const holder = holders.get(customer.token_sha256);
      if (holder === undefined) {
        holders.set(customer.token_sha256, name);
      } else {
        found.addError(
          placeOf('customer', name),
          `has the same token as ${placeOf('customer', holder)}`,
        );
      }
    }
  }

  protected compare(
    inForce: declarations.DeclarationFile,
    content: declarations.DeclarationFile,
    differences: checkedFile.DifferenceList,
  ): void {
    for (const kind of ['model', 'endpoint', 'customer', 'route'] as const) {
      compareEntries(kind, inForce[kind], content[kind], differences);
    }
    if (content.deployment !== undefined) {
      const {deployment = {}} = inForce;
      compareValues('deployment', deployment, content.deployment, differences);
    }
  }
}

/** Adds the differences of the entries of one kind. Entries that the file does not name stay in force. */
function compareEntries(
  kind: string,
  inForce: Readonly<Record<string, object>>,
  entries: Readonly<Record<string, object>>,
  differences: checkedFile.DifferenceList,
): void {
  const known = new Map(Object.entries(inForce));
  for (const [name, values] of Object.entries(entries)) {
    const place = placeOf(kind, name);
    const before = known.get(name);
    if (before === undefined) {
      differences.add({place, message: 'added'});
    } else {
      compareValues(place, before, values, differences);
    }
  }
}

function compareValues(
  place: string,
  before: object,
  after: object,
  differences: checkedFile.DifferenceList,
): void {
  const known = new Map<string, unknown>(Object.entries(before));
  for (const [key, value] of Object.entries(after)) {
    const change = configurationDifferences.describeChange(
      key,
      describe(known.get(key)),
      describe(value),
    );
    if (change !== undefined) {
      const message = key === SECRET_KEY ? `${key} changed` : change;
      differences.add({place, message});
    }
  }
}

/** Describes a value in words, not shortened. */
function describe(value: unknown): string {
  if (value === undefined || value === '') {
    return 'nothing';
  }
  if (Array.isArray(value)) {
    return value.map(describe).join(', ') || 'nothing';
  }
  return typeof value === 'string'
    ? quotedText.quoteWhole(value)
    : String(value);
}

function placeOf(kind: string, name: string | undefined): string {
  return name === undefined ? kind : `${kind} ${quotedText.quote(name)}`;
}

/** Returns a key of the file, or a stand-in for text that may be a secret in the place of a key. Secrets mostly have digits or capitals. */
function shownKey(key: string): string {
  return key === SECRET_KEY || /^[a-z_]{1,30}$/.test(key) ? key : 'a key';
}
