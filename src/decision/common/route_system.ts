/** Finds the route of a request and checks whether it still accepts work. */
import * as neverthrow from 'neverthrow';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';
import * as configurationTable from './configuration_table';

/** A route that serves a request. */
export interface RouteMatch {
  readonly name: string;
  readonly route: operator.Route;
}

/** Whether a wind-down date has passed, which includes the date itself. */
export function isWoundDown(
  windDownAt: string,
  unixMilliseconds: number,
): boolean {
  return windDownAt !== '' && unixMilliseconds >= Date.parse(windDownAt);
}

/** Matches requests to routes, as of the time at which a request arrives. */
export class RouteSystem {
  constructor(
    private readonly configuration: configurationTable.ConfigurationTable,
  ) {}

  /** Finds the customer's route to a model. Errors: UnknownModel, ModelWoundDown, RouteWoundDown, DeploymentWoundDown. */
  forModel(
    customer: string,
    model: string,
    unixMilliseconds: number,
  ): neverthrow.Result<RouteMatch, failure.Failure> {
    const served = this.configuration.get(operator.ObjectKind.MODEL, model);
    const match = this.routes().find(
      candidate =>
        candidate.route.model === model && isAllowed(candidate.route, customer),
    );
    if (served?.spec.case !== 'model' || match === undefined) {
      const message = `model: no route gives you access to ${JSON.stringify(model.slice(0, 80))}`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.UnknownModel, message),
      );
    }
    if (isWoundDown(served.spec.value.windDownAt, unixMilliseconds)) {
      const message = `model ${model} takes no new work since ${served.spec.value.windDownAt}`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.ModelWoundDown, message),
      );
    }
    return this.checkWindDown(match, unixMilliseconds);
  }

  /** Finds a service's route by its name. Errors: UnknownRoute, RouteWoundDown, DeploymentWoundDown. */
  forService(
    customer: string,
    name: string,
    unixMilliseconds: number,
  ): neverthrow.Result<RouteMatch, failure.Failure> {
    const match = this.routes().find(candidate => candidate.name === name);
    if (
      match === undefined ||
      match.route.model !== '' ||
      !isAllowed(match.route, customer)
    ) {
      const message = `route: you have no access to ${JSON.stringify(name.slice(0, 80))}`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.UnknownRoute, message),
      );
    }
    return this.checkWindDown(match, unixMilliseconds);
  }

  /** Maximum number of prompt and output tokens of a model; 0 for an unknown model. */
  contextTokens(model: string): number {
    const served = this.configuration.get(operator.ObjectKind.MODEL, model);
    return served?.spec.case === 'model' ? served.spec.value.contextTokens : 0;
  }

  private checkWindDown(
    match: RouteMatch,
    unixMilliseconds: number,
  ): neverthrow.Result<RouteMatch, failure.Failure> {
    if (isWoundDown(match.route.windDownAt, unixMilliseconds)) {
      const message = `route ${match.name} takes no new work since ${match.route.windDownAt}`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.RouteWoundDown, message),
      );
    }
    const deployment = this.configuration.get(
      operator.ObjectKind.DEPLOYMENT,
      configurationTable.DEPLOYMENT_NAME,
    );
    const date =
      deployment?.spec.case === 'deployment'
        ? deployment.spec.value.windDownAt
        : '';
    if (isWoundDown(date, unixMilliseconds)) {
      const message = `the deployment takes no new work since ${date}`;
      return neverthrow.err(
        failure.notRun(resultCode.ResultCode.DeploymentWoundDown, message),
      );
    }
    return neverthrow.ok(match);
  }

  private routes(): RouteMatch[] {
    const matches: RouteMatch[] = [];
    for (const object of this.configuration.list(operator.ObjectKind.ROUTE)) {
      if (object.spec.case === 'route') {
        matches.push({name: object.name, route: object.spec.value});
      }
    }
    return matches;
  }
}

function isAllowed(route: operator.Route, customer: string): boolean {
  return route.customers.includes('*') || route.customers.includes(customer);
}
