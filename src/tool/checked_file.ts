/** Files that can be checked before their content is sent. */
import * as neverthrow from 'neverthrow';
import * as configuration from '../gateway/common/configuration';
import * as configurationCheck from '../gateway/common/configuration_check/configuration_check';
import * as configurationDifferences from '../gateway/common/configuration_check/configuration_differences';
import * as findings from '../gateway/common/configuration_check/findings';
import * as configurationFile from '../platform/configuration_file';

/** Maximum number of findings, and of differences, that are printed. */
export const MAX_PRINTED = 1_000;

/** Differences in words. */
export type DifferenceList =
  findings.BoundedList<configurationDifferences.Difference>;

/** Text of a file. */
export interface TextFile {
  readonly path: string;
  readonly text: string;
}

/** What a check found. */
export interface CheckReport {
  readonly found: findings.FindingList;
  /** Undefined if there is no version in force to compare with. */
  readonly differences: DifferenceList | undefined;
}

/** A form of files, with its checks. */
export abstract class FileForm<T> {
  /** Decodes the text and adds what the schema refuses. The value is undefined if nothing of it is read. Errors: why the text cannot be read. */
  protected abstract decode(
    text: string,
    found: findings.FindingList,
  ): neverthrow.Result<T | undefined, string>;

  /** Adds what is wrong with the content beside the version in force, if there is one. */
  protected abstract findProblems(
    content: T,
    inForce: T | undefined,
    found: findings.FindingList,
  ): void;

  /** Adds the differences from the version in force, and what is wrong with the change. */
  protected abstract compare(
    inForce: T,
    content: T,
    differences: DifferenceList,
    found: findings.FindingList,
  ): void;

  /** Checks a file and, if given, compares it with the version in force. Errors: which file cannot be read, and why. */
  check(
    file: TextFile,
    inForce?: TextFile,
  ): neverthrow.Result<CheckReport, string> {
    const found = new findings.FindingList(MAX_PRINTED);
    return this.decodeFile(file, found).andThen(content =>
      inForce === undefined
        ? neverthrow.ok(this.report(content, undefined, found))
        : this.decodeInForce(inForce).map(before =>
            this.report(content, before, found),
          ),
    );
  }

  private report(
    content: T | undefined,
    inForce: T | undefined,
    found: findings.FindingList,
  ): CheckReport {
    if (content !== undefined) {
      this.findProblems(content, inForce, found);
    }
    if (inForce === undefined) {
      return {found, differences: undefined};
    }
    const differences: DifferenceList = new findings.BoundedList(MAX_PRINTED);
    if (content !== undefined) {
      this.compare(inForce, content, differences, found);
    }
    return {found, differences};
  }

  private decodeInForce(file: TextFile): neverthrow.Result<T, string> {
    // What is wrong in the version in force is not reported.
    const ignored = new findings.FindingList(0);
    return this.decodeFile(file, ignored).andThen(content =>
      content === undefined
        ? neverthrow.err(`${file.path}: the schema refuses it`)
        : neverthrow.ok(content),
    );
  }

  private decodeFile(
    {path, text}: TextFile,
    found: findings.FindingList,
  ): neverthrow.Result<T | undefined, string> {
    return this.decode(text, found).mapErr(reason => `${path}: ${reason}`);
  }
}

/** A configuration as the platform's metadata store holds it. */
export class ConfigurationForm extends FileForm<configuration.Configuration> {
  protected decode(text: string, found: findings.FindingList) {
    return configurationFile.decodeConfigurationText(text, (place, message) =>
      found.addError(place, message),
    );
  }

  protected findProblems(
    content: configuration.Configuration,
    _inForce: configuration.Configuration | undefined,
    found: findings.FindingList,
  ): void {
    configurationCheck.checkConfiguration(content, found);
  }

  protected compare(
    inForce: configuration.Configuration,
    content: configuration.Configuration,
    differences: DifferenceList,
    found: findings.FindingList,
  ): void {
    configurationDifferences.compareConfigurations(
      inForce,
      content,
      differences,
    );
    if (differences.total > 0) {
      configurationCheck.checkVersion(content, inForce, found);
    }
  }
}
