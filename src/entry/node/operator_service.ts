/** Serves the operator API. */
import * as http from 'node:http';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as rxjs from 'rxjs';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as settingsFile from '../../base/node/settings_file';
import * as changeSystem from '../../decision/common/change_system';
import * as configurationTable from '../../decision/common/configuration_table';
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';
import * as asyncQueue from './async_queue';
import * as configurationService from './configuration_service';
import * as statusService from './status_service';

/** URL path prefix of the operator API. */
export const OPERATOR_PATH = `/${operator.OperatorService.typeName}/`;

/** Creates the HTTP handler of the operator API. Requests need the bearer token of operators. */
export function createOperatorHandler(
  configuration: configurationService.ConfigurationService,
  status: statusService.StatusService,
  token: string,
): httpServer.RequestHandler {
  const service = new OperatorCalls(configuration, status);
  const handler = connectNode.connectNodeAdapter({
    routes: router =>
      void router.service(operator.OperatorService, service.implementation()),
  });
  return (request: http.IncomingMessage, response: http.ServerResponse) => {
    const presented = httpServer.bearerToken(request);
    if (
      presented === undefined ||
      !settingsFile.secretsEqual(presented, token)
    ) {
      const message = 'authorization: expected the bearer token of an operator';
      return httpServer.sendFailure(
        response,
        failure.notRun(resultCode.ResultCode.Unauthenticated, message),
      );
    }
    handler(request, response);
  };
}

class OperatorCalls {
  constructor(
    private readonly configuration: configurationService.ConfigurationService,
    private readonly status: statusService.StatusService,
  ) {}

  implementation(): connect.ServiceImpl<typeof operator.OperatorService> {
    return {
      apply: request => this.apply(request),
      get: request => this.get(request),
      list: request => this.list(request),
      watch: (request, context) => this.watch(request, context),
      drain: request => this.drain(request),
      windDown: request => this.windDown(request),
      status: request => this.status.report(request.traceId),
    };
  }

  private async apply(request: operator.ApplyRequest) {
    const changes = request.changes.map(change => {
      if (change.object === undefined) {
        throw invalidDeclaration('object: missing');
      }
      const expectedVersion = Number(change.expectedVersion);
      return {object: change.object, isRemoval: change.remove, expectedVersion};
    });
    return this.commit(request.changeId, changes, request.dryRun);
  }

  private get(request: operator.GetRequest) {
    const object = this.getExisting(request.kind, request.name);
    return {object, revision: BigInt(this.configuration.table.revision)};
  }

  private list(request: operator.ListRequest) {
    const objects = this.configuration.table.list(request.kind);
    return {objects, revision: BigInt(this.configuration.table.revision)};
  }

  private async *watch(
    request: operator.WatchRequest,
    context: connect.HandlerContext,
  ) {
    const isWanted = (kind: operator.ObjectKind) =>
      request.kind === operator.ObjectKind.UNSPECIFIED || request.kind === kind;
    const queue =
      new asyncQueue.AsyncQueue<configurationTable.ConfigurationChange>();
    const subscription: rxjs.Subscription = this.configuration.table.onDidChange
      .pipe(rxjs.filter(change => isWanted(change.kind)))
      .subscribe(change => queue.push(change));
    context.signal.addEventListener('abort', () => queue.close());
    try {
      const revision = BigInt(this.configuration.table.revision);
      for (const object of this.configuration.table.list(request.kind)) {
        yield {object, removed: false, revision};
      }
      for await (const change of queue) {
        yield watchResponse(change);
      }
    } finally {
      subscription.unsubscribe();
    }
  }

  private drain(request: operator.DrainRequest) {
    const existing = this.getExisting(
      operator.ObjectKind.ENDPOINT,
      request.endpoint,
    );
    const spec = existing.spec.value as operator.Endpoint;
    const object = {
      ...existing,
      spec: {
        case: 'endpoint' as const,
        value: {...spec, draining: request.draining},
      },
    };
    return this.changeOne(request.changeId, object, request.expectedVersion);
  }

  private windDown(request: operator.WindDownRequest) {
    const existing = this.getExisting(request.kind, request.name);
    const {spec} = existing;
    if (
      spec.case !== 'model' &&
      spec.case !== 'route' &&
      spec.case !== 'deployment'
    ) {
      throw invalidDeclaration('kind: expected model, route or deployment');
    }
    const value = {...spec.value, windDownAt: request.windDownAt};
    const object = {
      ...existing,
      spec: {case: spec.case, value},
    } as operator.DeclaredObject;
    return this.changeOne(request.changeId, object, request.expectedVersion);
  }

  private changeOne(
    changeId: string,
    object: operator.DeclaredObject,
    expectedVersion: bigint,
  ) {
    return this.commit(
      changeId,
      [{object, isRemoval: false, expectedVersion: Number(expectedVersion)}],
      false,
    );
  }

  private async commit(
    changeId: string,
    changes: readonly changeSystem.RequestedChange[],
    isDryRun: boolean,
  ) {
    if (!/^[\w.:-]{8,128}$/.test(changeId)) {
      throw invalidDeclaration('change_id: expected 8 to 128 characters');
    }
    const result = await this.configuration.commit(changeId, changes, isDryRun);
    if (result.isErr()) {
      throw toConnectError(result.error);
    }
    return {
      revision: BigInt(result.value.revision),
      repeated: result.value.isRepeated,
    };
  }

  private getExisting(
    kind: operator.ObjectKind,
    name: string,
  ): operator.DeclaredObject {
    const object = this.configuration.table.get(kind, name);
    if (object === undefined) {
      const message = `${operator.ObjectKind[kind]?.toLowerCase()} ${name}: does not exist`;
      throw toConnectError(
        failure.notRun(resultCode.ResultCode.UnknownObject, message),
      );
    }
    return object;
  }
}

function watchResponse(change: configurationTable.ConfigurationChange) {
  const isRemoved = change.object === undefined;
  const object = change.object ?? {kind: change.kind, name: change.name};
  return {object, removed: isRemoved, revision: BigInt(change.revision)};
}

function invalidDeclaration(message: string): connect.ConnectError {
  return toConnectError(
    failure.notRun(resultCode.ResultCode.InvalidDeclaration, message),
  );
}

const CONNECT_CODES: Readonly<
  Partial<Record<resultCode.ResultCode, connect.Code>>
> = {
  [resultCode.ResultCode.Conflict]: connect.Code.Aborted,
  [resultCode.ResultCode.UnknownObject]: connect.Code.NotFound,
  [resultCode.ResultCode.InvalidDeclaration]: connect.Code.InvalidArgument,
  [resultCode.ResultCode.StoreUnavailable]: connect.Code.Unavailable,
  [resultCode.ResultCode.ChangeOutcomeUnknown]: connect.Code.Unknown,
};

function toConnectError(cause: failure.Failure): connect.ConnectError {
  const code = CONNECT_CODES[cause.code] ?? connect.Code.Internal;
  return new connect.ConnectError(cause.message, code, {
    'rhubarbvane-result': String(cause.code),
    'rhubarbvane-work': cause.workState,
  });
}
