/** Measures memory and CPU time of tables and decisions inside one process. */
import * as crypto from 'node:crypto';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as protobuf from '@bufbuild/protobuf';
import * as admissionSystem from '../../src/decision/common/admission_system';
import * as attemptTable from '../../src/decision/common/attempt_table';
import * as configurationTable from '../../src/decision/common/configuration_table';
import * as endpointTable from '../../src/decision/common/endpoint_table';
import * as generationMachine from '../../src/decision/common/generation_machine';
import * as lengthPredictor from '../../src/decision/common/length_predictor';
import * as placementSystem from '../../src/decision/common/placement_system';
import * as configurationMessages from '../../src/protocol/common/configuration_messages';
import * as generationRequest from '../../src/protocol/common/generation_request';
import * as operator from '../../src/protocol/generated/rhubarbvane/v1/operator_pb';
import * as fits from './fit';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/** Heap that the result of `build` keeps in use, in bytes. */
function heapOf(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  return built === undefined ? 0 : after - before;
}

/** Mean CPU time of one action, in microseconds, over enough rounds to measure it. */
function microsecondsOf(rounds: number, action: () => void): number {
  for (let round = 0; round < rounds / 4; round++) {
    action();
  }
  const before = process.cpuUsage();
  for (let round = 0; round < rounds; round++) {
    action();
  }
  const used = process.cpuUsage(before);
  return (used.user + used.system) / rounds;
}

function customers(count: number): configurationMessages.StoredObject[] {
  return Array.from({length: count}, (_, index) => {
    const object = protobuf.create(operator.DeclaredObjectSchema, {
      kind: operator.ObjectKind.CUSTOMER,
      name: `customer-${index}`,
      spec: {
        case: 'customer',
        value: {
          tokenSha256: crypto
            .createHash('sha256')
            .update(String(index))
            .digest('hex'),
          maxOutstandingTokens: 100_000n,
          weight: 1,
        },
      },
    });
    return configurationTable.toStored(object, index + 1);
  });
}

function tableOf(
  objects: configurationMessages.StoredObject[],
): configurationTable.ConfigurationTable {
  const table = new configurationTable.ConfigurationTable();
  table.applySync({revision: 1, isSnapshot: true, objects}, 0);
  return table;
}

function endpointInstance(index: number): endpointTable.EndpointInstance {
  return {
    instance: `engine-${index}`,
    endpoint: 'engines',
    address: `127.0.0.1:${10_000 + index}`,
    dataCentre: 'galle',
    incarnation: 'abcdef012345',
    state: endpointTable.LinkState.Up,
    load: {
      running: 10,
      waiting: 0,
      memoryPressure: 0.5,
      outstandingTokens: 1_000 + index,
      isLeaving: false,
      isEndpointAlive: true,
      revision: 1,
    },
    loadAt: 0,
    dispatchedTokens: 0,
    isListedLeaving: false,
  };
}

function endpoints(count: number): endpointTable.EndpointTable {
  const table = new endpointTable.EndpointTable();
  for (let index = 0; index < count; index++) {
    table.put(endpointInstance(index));
  }
  return table;
}

function request(index: number): generationRequest.GenerationRequest {
  const prompt = `${index} `.padEnd(4_000, 'beach profile ');
  return {
    customer: `customer-${index % 10}`,
    route: 'reports',
    model: 'report-writer',
    prompt,
    promptTokens: 1_000,
    maxTokens: 32_768,
    requestClass: generationRequest.RequestClass.Draft,
    fingerprint: `fingerprint-${index}`,
    isSuspect: false,
    weight: 1,
  };
}

function attempts(running: number): attemptTable.AttemptTable {
  const table = new attemptTable.AttemptTable();
  const predictor = new lengthPredictor.LengthPredictor();
  for (let index = 0; index <= running; index++) {
    const input = request(index);
    predictor.record(input.customer, input.route, 500 + index);
    const distribution = predictor.distribution(input.customer, input.route);
    const attempt = table.add(
      `attempt-${index}`,
      input,
      distribution,
      'link',
      0,
    );
    if (index < running) {
      attempt.state = attemptTable.AttemptState.Running;
    }
  }
  return table;
}

function placementCost(count: number): number {
  const table = endpoints(count);
  const system = new placementSystem.PlacementSystem(
    placementSystem.DEFAULT_PLACEMENT_POLICY,
  );
  const placementRequest: placementSystem.PlacementRequest = {
    endpoints: ['engines'],
    excluded: new Set(),
    request: request(1),
    expectedTokens: 300,
  };
  return microsecondsOf(2_000, () => system.place(table, placementRequest, 0));
}

function admissionCost(running: number): number {
  const table = attempts(running);
  const system = new admissionSystem.AdmissionSystem({
    ...admissionSystem.DEFAULT_ADMISSION_POLICY,
    maxRunning: 10_000,
  });
  const engine = {capacityTokens: 1, tokensPerSecond: 4_000};
  return microsecondsOf(2_000, () => system.admit(table, engine, 0));
}

/** Measures the slopes of tables and decisions. */
export async function measure(): Promise<fits.Slope[]> {
  const measureSlope = fits.measureSlope;
  return [
    await measureSlope(
      'entry memory by customer',
      'bytes',
      [5_000, 10_000, 20_000, 40_000],
      count => {
        const objects = customers(count);
        return heapOf(() => tableOf(objects));
      },
    ),
    await measureSlope(
      'entry memory by linked endpoint instance, tables only',
      'bytes',
      [100, 400, 1_000, 1_400],
      count => heapOf(() => endpoints(count)),
    ),
    await measureSlope(
      'side process memory by held attempt of 1,000 prompt and 500 output tokens',
      'bytes',
      [100, 200, 400, 800],
      count =>
        heapOf(() => {
          const table = attempts(count);
          for (const attempt of table.all()) {
            for (let index = 0; index < 500; index++) {
              attempt.tokens.push(` ${index}-${attempt.id}`);
            }
          }
          return table;
        }),
    ),
    await measureSlope(
      'entry memory by running stream, machine only',
      'bytes',
      [1_000, 2_000, 4_000, 8_000],
      count =>
        heapOf(() =>
          Array.from(
            {length: count},
            () => new generationMachine.GenerationMachine(true, () => true),
          ),
        ),
    ),
    await measureSlope(
      'placement time by candidate instance',
      'microseconds',
      [8, 32, 128, 512],
      placementCost,
    ),
    await measureSlope(
      'admission tick time by running attempt',
      'microseconds',
      [16, 64, 128, 256],
      admissionCost,
    ),
    await measureSlope(
      'snapshot application time by customer',
      'microseconds',
      [1_000, 2_000, 4_000, 8_000],
      count => {
        const objects = customers(count);
        return microsecondsOf(5, () => tableOf(objects));
      },
    ),
    await measureSlope(
      'relayed change size by object',
      'bytes',
      [1, 4, 16, 64],
      count =>
        JSON.stringify({
          revision: 1,
          isSnapshot: false,
          objects: customers(count),
        }).length,
    ),
  ];
}
