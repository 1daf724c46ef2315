/** Commands that operate and inspect a running deployment. */
import * as clipanion from 'clipanion';
import * as uuid from 'uuid';
import * as deadline from '../base/common/deadline';
import * as resultCode from '../base/common/result_code';
import * as operator from '../protocol/generated/rhubarbvane/v1/operator_pb';
import * as declarationCommands from './declaration_commands';
import * as toolCommand from './tool_command';

const POLL_INTERVAL_MILLISECONDS = 500;

/** Drains an endpoint: it gets no new work, and running work finishes. */
export class DrainCommand extends toolCommand.ToolCommand {
  static override paths = [['drain']];
  static override usage = clipanion.Command.Usage({
    description: 'Drain an endpoint, or undo a drain',
    details:
      'A drained endpoint gets no new work; running work finishes. With --wait the command exits when no work is left.',
    examples: [
      ['Drain and wait', 'rhubarbvane drain report-engines --wait'],
      ['Undo the drain', 'rhubarbvane drain report-engines --undo'],
    ],
  });

  endpoint = clipanion.Option.String();
  undo = clipanion.Option.Boolean('--undo', false, {
    description: 'Send new work to the endpoint again',
  });
  wait = clipanion.Option.Boolean('--wait', false, {
    description: 'Wait until no work is left',
  });
  changeId = clipanion.Option.String('--change-id', '', {
    description: 'Identifier of the change',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const client = this.createClient();
    const {object} = await client.get({
      kind: operator.ObjectKind.ENDPOINT,
      name: this.endpoint,
    });
    const response = await client.drain({
      changeId: this.changeId || uuid.v7(),
      endpoint: this.endpoint,
      draining: !this.undo,
      expectedVersion: object!.version,
    });
    if (this.wait && !this.undo) {
      await this.waitUntilDrained(client);
    }
    const outcome = this.undo ? 'takes work again' : 'takes no new work';
    this.print({revision: response.revision}, [
      `${this.endpoint} ${outcome} since revision ${response.revision}`,
    ]);
    return resultCode.ResultCode.Ok;
  }

  private async waitUntilDrained(
    client: toolCommand.OperatorClient,
  ): Promise<void> {
    for (;;) {
      const status = await client.status({});
      const endpointInstances = status.instances.filter(
        instance => instance.endpoint === this.endpoint,
      );
      const work = endpointInstances.reduce(
        (sum, instance) => sum + instance.running + instance.waiting,
        0,
      );
      const isDrainApplied = endpointInstances.every(
        instance => !instance.reachable || instance.leaving,
      );
      if (work === 0 && isDrainApplied) {
        return;
      }
      this.printProgress(
        `${work} requests left at ${endpointInstances.length} instances`,
      );
      await deadline.delay(POLL_INTERVAL_MILLISECONDS);
    }
  }
}

/** Sets, moves or withdraws the date from which new work is refused. */
export class WindDownCommand extends toolCommand.ToolCommand {
  static override paths = [['wind-down']];
  static override usage = clipanion.Command.Usage({
    description:
      'Set, move or withdraw the date from which new work is refused',
    examples: [
      [
        'Wind a route down',
        'rhubarbvane wind-down route reports --at 2027-01-31T12:00:00Z',
      ],
      [
        'Wind the deployment down',
        'rhubarbvane wind-down deployment deployment --at 2027-03-31T00:00:00Z',
      ],
      ['Withdraw the date', 'rhubarbvane wind-down route reports --never'],
    ],
  });

  kind = clipanion.Option.String();
  name = clipanion.Option.String();
  at = clipanion.Option.String('--at', '', {description: 'RFC 3339 time'});
  never = clipanion.Option.Boolean('--never', false, {
    description: 'Withdraw the date',
  });
  changeId = clipanion.Option.String('--change-id', '', {
    description: 'Identifier of the change',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    if (this.at === '' && !this.never) {
      throw toolCommand.usageFailure('--at: missing; give a time or --never');
    }
    const client = this.createClient();
    const kind = declarationCommands.parseKind(this.kind);
    const {object} = await client.get({kind, name: this.name});
    const response = await client.windDown({
      changeId: this.changeId || uuid.v7(),
      kind,
      name: this.name,
      windDownAt: this.at,
      expectedVersion: object!.version,
    });
    const outcome =
      this.at === '' ? 'has no wind-down date' : `winds down at ${this.at}`;
    this.print({revision: response.revision}, [
      `${this.kind} ${this.name} ${outcome} since revision ${response.revision}`,
    ]);
    return resultCode.ResultCode.Ok;
  }
}

/** Shows all instances, or the spans of a trace. */
export class StatusCommand extends toolCommand.ToolCommand {
  static override paths = [['status']];
  static override usage = clipanion.Command.Usage({
    description: 'Show instances, revisions and work, or one trace',
    examples: [
      ['Show the deployment', 'rhubarbvane status'],
      [
        'Show a trace',
        'rhubarbvane status --trace 4bf92f3577b34da6a3ce929d0e0e4736',
      ],
    ],
  });

  trace = clipanion.Option.String('--trace', '', {
    description: 'Trace identifier of 32 hexadecimal digits',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const status = await this.createClient().status({traceId: this.trace});
    if (this.trace !== '') {
      this.print(
        status.spans.map(withoutLibraryFields),
        status.spans.map(formatSpan),
      );
      return status.spans.length > 0
        ? resultCode.ResultCode.Ok
        : resultCode.ResultCode.UnknownObject;
    }
    const {revision, lowestRevision, running} = status;
    this.print(
      {
        revision,
        lowestRevision,
        running,
        instances: status.instances.map(withoutLibraryFields),
      },
      [
        `revision ${revision}, lowest in force ${lowestRevision}, ${running} requests running`,
        ...status.instances.map(formatInstance),
      ],
    );
    return resultCode.ResultCode.Ok;
  }
}

/** Copies a message without the fields that the protobuf library adds. */
function withoutLibraryFields(message: object): object {
  return Object.fromEntries(
    Object.entries(message).filter(([field]) => !field.startsWith('$')),
  );
}

function formatInstance(status: operator.InstanceStatus): string {
  const state = status.reachable
    ? status.leaving
      ? 'leaving'
      : 'live'
    : 'unreachable';
  const location = [status.role, status.dataCentre, status.endpoint]
    .filter(part => part !== '')
    .join(' ');
  const work = `${status.running} running, ${status.waiting} waiting`;
  return `${status.instance} (${location}): ${state}, revision ${status.revision}, ${work}`;
}

function formatSpan(span: operator.Span): string {
  const attributes = Object.entries(span.attributes).map(
    ([key, value]) => `${key}=${value}`,
  );
  const time = `${span.durationMilliseconds.toFixed(2)} ms`;
  return [
    span.name,
    span.instance,
    time,
    `span ${span.spanId}`,
    `parent ${span.parentSpanId}`,
    ...attributes,
  ].join('  ');
}

/** Explains a result code. */
export class ExplainCommand extends clipanion.Command {
  static override paths = [['explain']];
  static override usage = clipanion.Command.Usage({
    description: 'Explain a result code',
    examples: [['Explain code 62', 'rhubarbvane explain 62']],
  });

  code = clipanion.Option.String();
  output = clipanion.Option.String('--output', toolCommand.OutputFormat.Text, {
    description: 'text or json',
  });

  async execute(): Promise<number> {
    const code = Number(this.code) as resultCode.ResultCode;
    const name = resultCode.ResultCode[code];
    if (name === undefined) {
      this.context.stderr.write(
        `rhubarbvane: code: saw ${JSON.stringify(this.code)}, expected a known result code\n`,
      );
      return resultCode.ResultCode.Usage;
    }
    const description = resultCode.describeResult(code);
    const text =
      this.output === toolCommand.OutputFormat.Json
        ? JSON.stringify({code, name, ...description})
        : `${code} ${name} (HTTP ${description.httpStatus}): ${description.meaning} ${description.remedy}`;
    this.context.stdout.write(`${text}\n`);
    return resultCode.ResultCode.Ok;
  }
}
