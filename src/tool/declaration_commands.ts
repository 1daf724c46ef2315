/** Commands that read and change declarations. */
import * as protobuf from '@bufbuild/protobuf';
import * as clipanion from 'clipanion';
import * as uuid from 'uuid';
import * as resultCode from '../base/common/result_code';
import * as operator from '../protocol/generated/rhubarbvane/v1/operator_pb';
import * as declarations from './declarations';
import * as toolCommand from './tool_command';

/** Parses the name of an object kind; throws a usage failure on an unknown one. */
export function parseKind(name: string): operator.ObjectKind {
  const kind = declarations.KIND_NAMES[name];
  if (kind === undefined) {
    const kindNames = Object.keys(declarations.KIND_NAMES).join(', ');
    throw toolCommand.usageFailure(
      `kind: saw ${JSON.stringify(name)}, expected one of ${kindNames}`,
    );
  }
  return kind;
}

interface Difference {
  readonly change: 'create' | 'update' | 'unchanged';
  readonly kind: string;
  readonly name: string;
  readonly before: protobuf.JsonObject | undefined;
  readonly after: protobuf.JsonObject;
}

function differenceOf(
  desired: operator.DeclaredObject,
  current: operator.DeclaredObject | undefined,
): Difference {
  const identity = {
    kind: declarations.kindName(desired.kind),
    name: desired.name,
  };
  const after = declarations.specOf(desired);
  if (current === undefined) {
    return {change: 'create', ...identity, before: undefined, after};
  }
  const before = declarations.specOf(current);
  const isSame = JSON.stringify(before) === JSON.stringify(after);
  return {change: isSame ? 'unchanged' : 'update', ...identity, before, after};
}

function formatDifference(difference: Difference): string[] {
  const lines = [`${difference.change} ${difference.kind} ${difference.name}`];
  if (difference.change === 'unchanged') {
    return lines;
  }
  for (const [field, value] of Object.entries(difference.after)) {
    const before = difference.before?.[field];
    if (JSON.stringify(before) !== JSON.stringify(value)) {
      const old = before === undefined ? '' : `${JSON.stringify(before)} -> `;
      lines.push(`  ${field}: ${old}${JSON.stringify(value)}`);
    }
  }
  return lines;
}

/** Applies the declarations of a file. */
export class ApplyCommand extends toolCommand.ToolCommand {
  static override paths = [['apply']];
  static override usage = clipanion.Command.Usage({
    description: 'Apply the declarations of a file',
    details:
      'Either all declarations of the file are accepted or none. Exits with 6 when nothing differs.',
    examples: [
      ['Apply a file', 'rhubarbvane apply deployment.ini'],
      ['Show what would change', 'rhubarbvane apply --dry-run deployment.ini'],
    ],
  });

  file = clipanion.Option.String();
  dryRun = clipanion.Option.Boolean('--dry-run', false, {
    description: 'Only show the differences',
  });
  changeId = clipanion.Option.String('--change-id', '', {
    description:
      'Identifier of the change; repeating the command with the same identifier is safe',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const desired = declarations.readDeclarations(this.file);
    if (desired.isErr()) {
      throw new toolCommand.CommandFailure(desired.error);
    }
    const client = this.createClient();
    const listed = await client.list({});
    const current = new Map(
      listed.objects.map(object => [`${object.kind}/${object.name}`, object]),
    );
    const find = (object: operator.DeclaredObject) =>
      current.get(`${object.kind}/${object.name}`);
    const differences = desired.value.map(object =>
      differenceOf(object, find(object)),
    );
    const changed = desired.value.filter(
      (_, index) => differences[index].change !== 'unchanged',
    );
    if (changed.length === 0) {
      const revision = Number(listed.revision);
      this.print({revision, differences}, [
        `nothing changed: revision ${revision} contains all declarations`,
      ]);
      return resultCode.ResultCode.NothingChanged;
    }
    this.printProgress(
      `sending ${changed.length} of ${desired.value.length} declarations`,
    );
    const response = await client.apply({
      changeId: this.changeId || uuid.v7(),
      dryRun: this.dryRun,
      changes: changed.map(object => ({
        object,
        expectedVersion: find(object)?.version ?? 0n,
      })),
    });
    const outcome = this.dryRun
      ? 'would be accepted'
      : `accepted as revision ${response.revision}`;
    this.print(
      {revision: response.revision, dryRun: this.dryRun, differences},
      [...differences.flatMap(formatDifference), outcome],
    );
    return resultCode.ResultCode.Ok;
  }
}

function toOutput(object: operator.DeclaredObject) {
  const kind = declarations.kindName(object.kind);
  return {
    kind,
    name: object.name,
    version: Number(object.version),
    spec: declarations.specOf(object),
  };
}

function formatObject(object: operator.DeclaredObject): string {
  const shown = toOutput(object);
  return `${shown.kind} ${shown.name} version ${shown.version} ${JSON.stringify(shown.spec)}`;
}

/** Shows the declared objects in force. */
export class GetCommand extends toolCommand.ToolCommand {
  static override paths = [['get']];
  static override usage = clipanion.Command.Usage({
    description: 'Show the declared objects in force',
    examples: [
      ['Show everything', 'rhubarbvane get'],
      ['Show one route', 'rhubarbvane get route reports'],
    ],
  });

  kind = clipanion.Option.String({required: false});
  name = clipanion.Option.String({required: false});

  protected async run(): Promise<resultCode.ResultCode> {
    const kind =
      this.kind === undefined
        ? operator.ObjectKind.UNSPECIFIED
        : parseKind(this.kind);
    const client = this.createClient();
    if (this.name !== undefined) {
      const response = await client.get({kind, name: this.name});
      this.print(toOutput(response.object!), [formatObject(response.object!)]);
      return resultCode.ResultCode.Ok;
    }
    const response = await client.list({kind});
    this.print(
      response.objects.map(toOutput),
      response.objects.map(formatObject),
    );
    return resultCode.ResultCode.Ok;
  }
}

/** Deletes a declared object. */
export class DeleteCommand extends toolCommand.ToolCommand {
  static override paths = [['delete']];
  static override usage = clipanion.Command.Usage({
    description: 'Delete a declared object',
    examples: [
      ['Delete a customer', 'rhubarbvane delete customer galle-office'],
    ],
  });

  kind = clipanion.Option.String();
  name = clipanion.Option.String();
  changeId = clipanion.Option.String('--change-id', '', {
    description: 'Identifier of the change',
  });
  version = clipanion.Option.String('--version', '', {
    description: 'Expected version; defaults to the current one',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const client = this.createClient();
    const kind = parseKind(this.kind);
    const {object} = await client.get({kind, name: this.name});
    const expectedVersion =
      this.version === '' ? object!.version : BigInt(this.version);
    const response = await client.apply({
      changeId: this.changeId || uuid.v7(),
      changes: [{object: object!, remove: true, expectedVersion}],
    });
    this.print({revision: response.revision}, [
      `deleted as revision ${response.revision}`,
    ]);
    return resultCode.ResultCode.Ok;
  }
}

/** Shows objects and follows their changes. */
export class WatchCommand extends toolCommand.ToolCommand {
  static override paths = [['watch']];
  static override usage = clipanion.Command.Usage({
    description: 'Show objects and follow their changes',
    examples: [['Watch routes', 'rhubarbvane watch route --output json']],
  });

  kind = clipanion.Option.String({required: false});
  count = clipanion.Option.String('--count', '', {
    description: 'Exit after this number of lines',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const kind =
      this.kind === undefined
        ? operator.ObjectKind.UNSPECIFIED
        : parseKind(this.kind);
    let left = this.count === '' ? Infinity : Number(this.count);
    for await (const event of this.createClient().watch({kind})) {
      const object = event.object!;
      const identity = `${declarations.kindName(object.kind)} ${object.name}`;
      const line = event.removed ? `deleted ${identity}` : formatObject(object);
      const shown = event.removed ? {removed: identity} : toOutput(object);
      this.print({revision: event.revision, ...shown}, [
        `revision ${event.revision}: ${line}`,
      ]);
      left--;
      if (left <= 0) {
        break;
      }
    }
    return resultCode.ResultCode.Ok;
  }
}
