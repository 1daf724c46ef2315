/** Base class of the tool's commands, with its options, client, output and failures. */
import * as fs from 'node:fs';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as clipanion from 'clipanion';
import * as failure from '../base/common/failure';
import * as resultCode from '../base/common/result_code';
import * as operator from '../protocol/generated/rhubarbvane/v1/operator_pb';

/** Client of the operator API. */
export type OperatorClient = connect.Client<typeof operator.OperatorService>;

/** Output formats. */
export enum OutputFormat {
  Text = 'text',
  Json = 'json',
}

/** Failure that ends a command; its result code is the exit code. */
export class CommandFailure extends Error {
  constructor(readonly cause: failure.Failure) {
    super(cause.message);
  }
}

/** A command that calls an entry. */
export abstract class ToolCommand extends clipanion.Command {
  entry = clipanion.Option.String(
    '--entry',
    process.env.RHUBARBVANE_ENTRY ?? '',
    {
      description: 'URL of any entry; defaults to RHUBARBVANE_ENTRY',
    },
  );

  tokenFile = clipanion.Option.String(
    '--token-file',
    process.env.RHUBARBVANE_TOKEN_FILE ?? '',
    {
      description:
        'File with the bearer token; defaults to RHUBARBVANE_TOKEN_FILE',
    },
  );

  output = clipanion.Option.String('--output', OutputFormat.Text, {
    description: 'text or json',
  });

  /** Runs the command and returns the exit code. */
  protected abstract run(): Promise<resultCode.ResultCode>;

  async execute(): Promise<number> {
    try {
      this.validateOptions();
      return await this.run();
    } catch (error) {
      const cause = failureOf(error);
      this.context.stderr.write(
        `rhubarbvane: ${cause.message} [result ${cause.code}, ${cause.workState}]\n`,
      );
      return cause.code;
    }
  }

  /** URL of the entry without a trailing slash. */
  protected get entryUrl(): string {
    return this.entry.replace(/\/$/, '');
  }

  protected get token(): string {
    try {
      return fs.readFileSync(this.tokenFile, 'utf8').trim();
    } catch (error) {
      const reason = (error as NodeJS.ErrnoException).code ?? String(error);
      const message = `--token-file: saw ${JSON.stringify(this.tokenFile)}, cannot be read (${reason})`;
      throw new CommandFailure(
        failure.notRun(resultCode.ResultCode.SettingsUnreadable, message),
      );
    }
  }

  protected createClient(): OperatorClient {
    const token = this.token;
    const authenticate: connect.Interceptor = next => request => {
      request.header.set('authorization', `Bearer ${token}`);
      return next(request);
    };
    const transport = connectNode.createConnectTransport({
      baseUrl: this.entryUrl,
      httpVersion: '1.1',
      interceptors: [authenticate],
    });
    return connect.createClient(operator.OperatorService, transport);
  }

  /** Prints the value in JSON format, or the lines in text format. */
  protected print(value: unknown, lines: readonly string[]): void {
    if (this.output === OutputFormat.Json) {
      const text = JSON.stringify(value, (_, field: unknown) =>
        typeof field === 'bigint' ? Number(field) : field,
      );
      this.context.stdout.write(`${text}\n`);
      return;
    }
    lines.forEach(line => this.context.stdout.write(`${line}\n`));
  }

  /** Prints progress to standard error, in text format only. */
  protected printProgress(line: string): void {
    if (this.output === OutputFormat.Text) {
      this.context.stderr.write(`${line}\n`);
    }
  }

  private validateOptions(): void {
    if (
      this.output !== OutputFormat.Text &&
      this.output !== OutputFormat.Json
    ) {
      throw usageFailure(
        `--output: saw ${JSON.stringify(this.output)}, expected text or json`,
      );
    }
    if (!/^http:\/\/[^/]+\/?$/.test(this.entry)) {
      throw usageFailure(
        `--entry: saw ${JSON.stringify(this.entry)}, expected a URL such as http://127.0.0.1:8080`,
      );
    }
  }
}

/** Creates the failure for an invalid argument. */
export function usageFailure(message: string): CommandFailure {
  return new CommandFailure(
    failure.notRun(resultCode.ResultCode.Usage, message),
  );
}

function failureOf(error: unknown): failure.Failure {
  if (error instanceof CommandFailure) {
    return error.cause;
  }
  if (error instanceof connect.ConnectError) {
    const code = Number(
      error.metadata.get('rhubarbvane-result') ?? resultCode.ResultCode.Failed,
    );
    const work =
      error.metadata.get('rhubarbvane-work') ?? resultCode.WorkState.Unknown;
    return {
      code,
      message: error.rawMessage,
      workState: work as resultCode.WorkState,
    };
  }
  return failure.unknownOutcome(
    resultCode.ResultCode.Failed,
    error instanceof Error ? error.message : String(error),
  );
}
