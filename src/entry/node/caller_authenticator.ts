/** Authenticates callers, and refuses them while this entry accepts no new work. */
import * as http from 'node:http';
import * as neverthrow from 'neverthrow';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as httpServer from '../../base/node/http_server';
import * as settingsFile from '../../base/node/settings_file';
import * as configurationTable from '../../decision/common/configuration_table';
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';

const DEFAULT_WEIGHT = 1;

/** An authenticated customer. */
export interface Caller {
  readonly customer: string;
  readonly weight: number;
  /** 0 means no limit. */
  readonly maxOutstandingTokens: number;
}

/** Returns why the entry cannot serve, or undefined when it can. */
export type ReadinessCheck = () => failure.Failure | undefined;

/** Checks readiness and the bearer token of each caller request. */
export class CallerAuthenticator {
  constructor(
    private readonly configuration: configurationTable.ConfigurationTable,
    private readonly checkReadiness: ReadinessCheck,
  ) {}

  /** Errors: NotReady, Unauthenticated. */
  authenticate(
    request: http.IncomingMessage,
  ): neverthrow.Result<Caller, failure.Failure> {
    const cause = this.checkReadiness();
    if (cause !== undefined) {
      return neverthrow.err(cause);
    }
    const token = httpServer.bearerToken(request);
    // The lookup compares digests, so its timing reveals nothing about a token.
    const object =
      token === undefined
        ? undefined
        : this.configuration.customerByToken(settingsFile.sha256(token));
    if (object?.spec.case !== 'customer') {
      const message = 'authorization: expected the bearer token of a customer';
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.Unauthenticated, message),
      );
    }
    return neverthrow.ok(toCaller(object.name, object.spec.value));
  }
}

function toCaller(name: string, customer: operator.Customer): Caller {
  return {
    customer: name,
    weight: customer.weight > 0 ? customer.weight : DEFAULT_WEIGHT,
    maxOutstandingTokens: Number(customer.maxOutstandingTokens),
  };
}
