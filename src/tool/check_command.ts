/** The command that checks a file before its content is sent. */
import * as stream from 'node:stream';
import * as clipanion from 'clipanion';
import * as neverthrow from 'neverthrow';
import * as boundedFile from './bounded_file';
import * as checkedFile from './checked_file';
import * as declarationForm from './declaration_form';

/** Exit codes. Not result codes, since scripts tell findings from unreadable files by them. */
enum ExitCode {
  /** Nothing was found, or warnings alone. */
  Accepted = 0,
  Refused = 1,
  Unreadable = 2,
}

/** Checks a configuration or a file of declarations; sends nothing. */
export class CheckCommand extends clipanion.Command {
  static override paths = [['check']];
  static override usage = clipanion.Command.Usage({
    description: 'Check a configuration before it is sent',
    details:
      'Reads a configuration as JSON, in the form in which it lies in the metadata store of the platform, or declarations if the name of the file ends in .ini. Sends nothing and shows no keys of customers. Exits with 0 if there are no errors, with 1 if there are, and with 2 if a file cannot be read.',
    examples: [
      ['Check a configuration', 'rhubarbvane check configuration.json'],
      [
        'Show what differs from the version in force',
        'rhubarbvane check configuration.json --against in-force.json',
      ],
      ['Check declarations', 'rhubarbvane check cooperative.ini --json'],
    ],
  });

  file = clipanion.Option.String();
  against = clipanion.Option.String('--against', {
    description:
      'File of the version in force, to show the differences from it',
  });
  json = clipanion.Option.Boolean('--json', false, {
    description: 'Print JSON',
  });

  async execute(): Promise<number> {
    const checked = this.check();
    if (checked.isErr()) {
      await writeText(this.context.stderr, `rhubarbvane: ${checked.error}\n`);
      return ExitCode.Unreadable;
    }
    const {found, differences} = checked.value;
    const text = this.json
      ? JSON.stringify({
          errorCount: found.errorCount,
          warningCount: found.warningCount,
          findings: found.items,
          differenceCount: differences?.total,
          differences: differences?.items,
        })
      : formatReport(checked.value).join('\n');
    await writeText(this.context.stdout, `${text}\n`);
    return found.errorCount > 0 ? ExitCode.Refused : ExitCode.Accepted;
  }

  private check(): neverthrow.Result<checkedFile.CheckReport, string> {
    const isDeclarations = this.file.endsWith('.ini');
    if (this.against?.endsWith('.ini') === !isDeclarations) {
      return neverthrow.err(
        '--against: expected a file of the same form, both with or both without .ini',
      );
    }
    const form = isDeclarations
      ? new declarationForm.DeclarationForm()
      : new checkedFile.ConfigurationForm();
    return readFile(this.file).andThen(file =>
      this.against === undefined
        ? form.check(file)
        : readFile(this.against).andThen(inForce => form.check(file, inForce)),
    );
  }
}

/** Waits until the text is written, since the program's exit drops what a pipe has not taken. A reader such as head may close it early. */
function writeText(target: stream.Writable, text: string): Promise<void> {
  return new Promise(resolve => {
    target.once('error', () => resolve());
    target.write(text, () => resolve());
  });
}

function readFile(
  path: string,
): neverthrow.Result<checkedFile.TextFile, string> {
  return boundedFile
    .readBoundedFile(path)
    .map(text => ({path, text}))
    .mapErr(reason => `${path}: ${reason}`);
}

function formatReport({found, differences}: checkedFile.CheckReport): string[] {
  const lines = found.items.map(
    ({severity, place, message}) => `${severity}: ${place}: ${message}`,
  );
  const total = found.errorCount + found.warningCount;
  if (total > found.items.length) {
    lines.push(`${total - found.items.length} more findings are not shown`);
  }
  if (differences !== undefined) {
    lines.push(...formatDifferences(differences));
  }
  const errors = countOf(found.errorCount, 'error');
  lines.push(`${errors}, ${countOf(found.warningCount, 'warning')}`);
  return lines;
}

function countOf(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

function formatDifferences(differences: checkedFile.DifferenceList): string[] {
  if (differences.total === 0) {
    return ['no differences from the version in force'];
  }
  const lines = differences.items.map(
    ({place, message}) => `difference: ${place}: ${message}`,
  );
  const hidden = differences.total - differences.items.length;
  return hidden === 0
    ? lines
    : [...lines, `${hidden} more differences are not shown`];
}
