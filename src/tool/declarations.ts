/** Reads operators' declarations from INI files with one section per object, named [kind.name]. */
import * as protobuf from '@bufbuild/protobuf';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import * as failure from '../base/common/failure';
import * as settingsFile from '../base/node/settings_file';
import * as operator from '../protocol/generated/rhubarbvane/v1/operator_pb';

const listSetting = zod.z
  .union([zod.z.string(), zod.z.array(zod.z.string())])
  .transform(value => (Array.isArray(value) ? value : value.split(',')))
  .transform(values =>
    values.map(value => value.trim()).filter(value => value !== ''),
  );

const dateSetting = zod.z
  .string()
  .refine(
    value => value === '' || !Number.isNaN(Date.parse(value)),
    'a time such as 2027-01-31T12:00:00Z',
  )
  .default('');

const modelSchema = zod.z.strictObject({
  context_tokens: settingsFile.wholeNumberSetting(1, 100_000_000),
  weights_version: zod.z.string().default(''),
  wind_down_at: dateSetting,
});

const endpointSchema = zod.z.strictObject({
  kind: zod.z.enum(['engine', 'service'], {error: 'engine or service'}),
  draining: settingsFile.flagSetting().default(false),
});

const routeSchema = zod.z.strictObject({
  customers: listSetting,
  model: zod.z.string().default(''),
  endpoints: listSetting,
  repeatable: settingsFile.flagSetting().default(false),
  wind_down_at: dateSetting,
});

const customerSchema = zod.z.strictObject({
  token_sha256: zod.z
    .string()
    .regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits in lower case'),
  max_outstanding_tokens: settingsFile.wholeNumberSetting(0, 1e12).default(0),
  weight: settingsFile.numberSetting(0, 1_000).default(1),
});

const deploymentSchema = zod.z.strictObject({wind_down_at: dateSetting});

const fileSchema = zod.z.strictObject({
  model: zod.z.record(zod.z.string(), modelSchema).default({}),
  endpoint: zod.z.record(zod.z.string(), endpointSchema).default({}),
  customer: zod.z.record(zod.z.string(), customerSchema).default({}),
  route: zod.z.record(zod.z.string(), routeSchema).default({}),
  deployment: deploymentSchema.optional(),
});

/** Content of a declaration file. */
export type DeclarationFile = zod.z.infer<typeof fileSchema>;

/** Validates the text of a declaration file. Errors: all places that do not match the schema. */
export function checkDeclarations(
  text: string,
): neverthrow.Result<DeclarationFile, settingsFile.SettingsIssue[]> {
  return settingsFile.checkSettings(text, fileSchema);
}

/** Reads and validates a declaration file. Errors: SettingsUnreadable, SettingsInvalid. */
export function readDeclarations(
  path: string,
): neverthrow.Result<operator.DeclaredObject[], failure.Failure> {
  return settingsFile.readSettings(path, fileSchema).map(toObjects);
}

/** Returns the declared objects of a file. */
export function toObjects(file: DeclarationFile): operator.DeclaredObject[] {
  const objects: operator.DeclaredObject[] = [];
  const add = (
    kind: operator.ObjectKind,
    name: string,
    spec: protobuf.MessageInitShape<
      typeof operator.DeclaredObjectSchema
    >['spec'],
  ) =>
    objects.push(
      protobuf.create(operator.DeclaredObjectSchema, {kind, name, spec}),
    );
  for (const [name, model] of Object.entries(file.model)) {
    const value = {
      contextTokens: model.context_tokens,
      weightsVersion: model.weights_version,
      windDownAt: model.wind_down_at,
    };
    add(operator.ObjectKind.MODEL, name, {case: 'model', value});
  }
  for (const [name, endpoint] of Object.entries(file.endpoint)) {
    const kind =
      endpoint.kind === 'engine'
        ? operator.EndpointKind.ENGINE
        : operator.EndpointKind.SERVICE;
    add(operator.ObjectKind.ENDPOINT, name, {
      case: 'endpoint',
      value: {kind, draining: endpoint.draining},
    });
  }
  for (const [name, customer] of Object.entries(file.customer)) {
    const value = {
      tokenSha256: customer.token_sha256,
      maxOutstandingTokens: BigInt(customer.max_outstanding_tokens),
      weight: customer.weight,
    };
    add(operator.ObjectKind.CUSTOMER, name, {case: 'customer', value});
  }
  for (const [name, route] of Object.entries(file.route)) {
    const {customers, model, endpoints, repeatable} = route;
    const value = {
      customers,
      model,
      endpoints,
      repeatable,
      windDownAt: route.wind_down_at,
    };
    add(operator.ObjectKind.ROUTE, name, {case: 'route', value});
  }
  if (file.deployment !== undefined) {
    const value = {windDownAt: file.deployment.wind_down_at};
    add(operator.ObjectKind.DEPLOYMENT, 'deployment', {
      case: 'deployment',
      value,
    });
  }
  return objects;
}

/** Object kinds by their names on the command line. */
export const KIND_NAMES: Readonly<Record<string, operator.ObjectKind>> = {
  model: operator.ObjectKind.MODEL,
  route: operator.ObjectKind.ROUTE,
  endpoint: operator.ObjectKind.ENDPOINT,
  customer: operator.ObjectKind.CUSTOMER,
  deployment: operator.ObjectKind.DEPLOYMENT,
};

/** Returns the name of an object kind on the command line. */
export function kindName(kind: operator.ObjectKind): string {
  return operator.ObjectKind[kind].toLowerCase();
}

/** Returns the fields of an object without its kind and name, for display and comparison. */
export function specOf(object: operator.DeclaredObject): protobuf.JsonObject {
  const json = protobuf.toJson(operator.DeclaredObjectSchema, object, {
    alwaysEmitImplicit: true,
  }) as protobuf.JsonObject;
  return (json[kindName(object.kind)] ?? {}) as protobuf.JsonObject;
}
