/** Validates change sets of operators against the active configuration. */
import * as protobuf from '@bufbuild/protobuf';
import * as neverthrow from 'neverthrow';
import * as failure from '../../base/common/failure';
import * as resultCode from '../../base/common/result_code';
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';
import * as configurationTable from './configuration_table';

/** One object that an operator wants to create, replace or remove. */
export interface RequestedChange {
  readonly object: operator.DeclaredObject;
  readonly isRemoval: boolean;
  /** Version on which the operator's change is based; 0 for a new object. */
  readonly expectedVersion: number;
}

/** A change that passed validation. */
export interface CheckedChange {
  readonly object: operator.DeclaredObject;
  readonly isRemoval: boolean;
}

const NAME_PATTERN = /^[a-z0-9-]{1,63}$/;
const TOKEN_PATTERN = /^[0-9a-f]{64}$/;

const CASE_BY_KIND: Readonly<
  Partial<Record<operator.ObjectKind, operator.DeclaredObject['spec']['case']>>
> = {
  [operator.ObjectKind.MODEL]: 'model',
  [operator.ObjectKind.ROUTE]: 'route',
  [operator.ObjectKind.ENDPOINT]: 'endpoint',
  [operator.ObjectKind.CUSTOMER]: 'customer',
  [operator.ObjectKind.DEPLOYMENT]: 'deployment',
};

/**
 * Returns the changes that differ from the active configuration, in their order.
 * Errors: Conflict with the active version, InvalidDeclaration.
 */
export function checkChanges(
  table: configurationTable.ConfigurationTable,
  changes: readonly RequestedChange[],
): neverthrow.Result<CheckedChange[], failure.Failure> {
  const checked: CheckedChange[] = [];
  for (const change of changes) {
    const cause =
      checkVersion(table, change) ?? checkObject(table, change, changes);
    if (cause !== undefined) {
      return neverthrow.err(cause);
    }
    if (differs(table, change)) {
      checked.push({object: change.object, isRemoval: change.isRemoval});
    }
  }
  return neverthrow.ok(checked);
}

/** What is wrong with a declared object. */
export interface ObjectProblem {
  readonly object: operator.DeclaredObject;
  readonly problem: string;
}

/** Returns what is wrong with objects that are declared at once, beside others that are declared already. */
export function findProblems(
  objects: readonly operator.DeclaredObject[],
  others: readonly operator.DeclaredObject[],
): ObjectProblem[] {
  const keyOf = (kind: operator.ObjectKind, name: string) => `${kind}/${name}`;
  const declared = new Set(
    [...objects, ...others].map(each => keyOf(each.kind, each.name)),
  );
  return objects.flatMap(object => {
    const problem = validateObject(object, (kind, name) =>
      declared.has(keyOf(kind, name)),
    );
    return problem === undefined ? [] : [{object, problem}];
  });
}

function label(object: operator.DeclaredObject): string {
  return `${operator.ObjectKind[object.kind]?.toLowerCase()} ${object.name}`;
}

function checkVersion(
  table: configurationTable.ConfigurationTable,
  change: RequestedChange,
): failure.Failure | undefined {
  const current = table.get(change.object.kind, change.object.name);
  const version = Number(current?.version ?? 0);
  if (version === change.expectedVersion) {
    return undefined;
  }
  const message = `${label(change.object)}: expected version ${change.expectedVersion}, version ${version} is in force`;
  return failure.notRun(resultCode.ResultCode.Conflict, message);
}

function checkObject(
  table: configurationTable.ConfigurationTable,
  change: RequestedChange,
  all: readonly RequestedChange[],
): failure.Failure | undefined {
  const problem = change.isRemoval
    ? validateRemoval(table, change, all)
    : validateObject(change.object, (kind, name) =>
        isDeclaredAfter(table, all, kind, name),
      );
  if (problem === undefined) {
    return undefined;
  }
  const message = `${label(change.object)}: ${problem}`;
  return failure.notRun(resultCode.ResultCode.InvalidDeclaration, message);
}

function validateRemoval(
  table: configurationTable.ConfigurationTable,
  change: RequestedChange,
  all: readonly RequestedChange[],
): string | undefined {
  const {kind, name} = change.object;
  if (table.get(kind, name) === undefined) {
    return 'does not exist';
  }
  const users = table
    .list(operator.ObjectKind.ROUTE)
    .filter(route => refersTo(route, kind, name));
  const remaining = users.find(
    route =>
      !all.some(
        other =>
          other.object.kind === route.kind && other.object.name === route.name,
      ),
  );
  return remaining === undefined ? undefined : `is used by ${label(remaining)}`;
}

function refersTo(
  object: operator.DeclaredObject,
  kind: operator.ObjectKind,
  name: string,
): boolean {
  if (object.spec.case !== 'route') {
    return false;
  }
  const route = object.spec.value;
  const isModel = kind === operator.ObjectKind.MODEL && route.model === name;
  const isEndpoint =
    kind === operator.ObjectKind.ENDPOINT && route.endpoints.includes(name);
  const isCustomer =
    kind === operator.ObjectKind.CUSTOMER && route.customers.includes(name);
  return isModel || isEndpoint || isCustomer;
}

/** Whether the object is declared once all changes are accepted. */
function isDeclaredAfter(
  table: configurationTable.ConfigurationTable,
  all: readonly RequestedChange[],
  kind: operator.ObjectKind,
  name: string,
): boolean {
  const change = all.find(
    other => other.object.kind === kind && other.object.name === name,
  );
  return change === undefined
    ? table.get(kind, name) !== undefined
    : !change.isRemoval;
}

function validateObject(
  object: operator.DeclaredObject,
  exists: (kind: operator.ObjectKind, name: string) => boolean,
): string | undefined {
  if (!NAME_PATTERN.test(object.name)) {
    return 'name: expected up to 63 characters of a-z, 0-9 and -';
  }
  if (
    object.spec.case === undefined ||
    CASE_BY_KIND[object.kind] !== object.spec.case
  ) {
    return 'spec: does not match the kind';
  }
  switch (object.spec.case) {
    case 'model':
      return validateModel(object.spec.value);
    case 'route':
      return validateRoute(object.spec.value, exists);
    case 'endpoint':
      return object.spec.value.kind === operator.EndpointKind.UNSPECIFIED
        ? 'kind: expected engine or service'
        : undefined;
    case 'customer':
      return validateCustomer(object.spec.value);
    case 'deployment':
      return validateDeployment(object.name, object.spec.value);
  }
}

function validateDate(date: string): string | undefined {
  const isValid = date === '' || !Number.isNaN(Date.parse(date));
  return isValid
    ? undefined
    : `wind_down_at: saw ${JSON.stringify(date)}, expected a time such as 2027-01-31T12:00:00Z`;
}

function validateModel(model: operator.ServedModel): string | undefined {
  if (model.contextTokens === 0) {
    return 'context_tokens: expected a number above 0';
  }
  return validateDate(model.windDownAt);
}

function validateRoute(
  route: operator.Route,
  exists: (kind: operator.ObjectKind, name: string) => boolean,
): string | undefined {
  if (route.endpoints.length === 0) {
    return 'endpoints: expected at least one';
  }
  if (route.model !== '' && !exists(operator.ObjectKind.MODEL, route.model)) {
    return `model: ${route.model} is not declared`;
  }
  const endpoint = route.endpoints.find(
    name => !exists(operator.ObjectKind.ENDPOINT, name),
  );
  if (endpoint !== undefined) {
    return `endpoints: ${endpoint} is not declared`;
  }
  const customer = route.customers.find(
    name => name !== '*' && !exists(operator.ObjectKind.CUSTOMER, name),
  );
  if (customer !== undefined) {
    return `customers: ${customer} is not declared`;
  }
  return validateDate(route.windDownAt);
}

function validateCustomer(customer: operator.Customer): string | undefined {
  if (!TOKEN_PATTERN.test(customer.tokenSha256)) {
    return 'token_sha256: expected 64 hexadecimal digits in lower case';
  }
  return customer.weight < 0 ? 'weight: expected 0 or more' : undefined;
}

function validateDeployment(
  name: string,
  deployment: operator.Deployment,
): string | undefined {
  if (name !== configurationTable.DEPLOYMENT_NAME) {
    return `name: expected ${configurationTable.DEPLOYMENT_NAME}`;
  }
  return validateDate(deployment.windDownAt);
}

function differs(
  table: configurationTable.ConfigurationTable,
  change: RequestedChange,
): boolean {
  const current = table.get(change.object.kind, change.object.name);
  if (change.isRemoval || current === undefined) {
    return true;
  }
  const wanted = {...change.object, version: current.version};
  return !protobuf.equals(operator.DeclaredObjectSchema, current, wanted);
}
