/** Messages between gateways: bounds, other builds and bad input. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as evacuatedDataCentres from '../../../../src/gateway/common/availability/evacuated_data_centres';
import * as fleetMessage from '../../../../src/gateway/common/fleet/fleet_message';
import * as memberTable from '../../../../src/gateway/common/fleet/member_table';
import * as runTable from '../../../../src/gateway/common/run_table';

const test = ava.default;
const SEED = 20_261_204;

function message(
  loads: runTable.LoadsByInstance = {},
): fleetMessage.FleetMessage {
  return {
    digest: {
      name: 'gateway-1',
      stateAddress: '10.0.0.1:8748',
      configurationVersion: 7,
      instancesPosition: 12.5,
      isSourceAway: false,
      loads,
      crashes: [],
      peers: [],
    },
    fleet: {
      incarnation: 3,
      members: [
        ['10.0.0.2', 'gateway-2', 1, memberTable.MemberState.Live, -1, 0],
      ],
    },
  };
}

test('fleet messages: loads of 1,400 engines are sent, reduced to the heaviest', t => {
  const loads = Object.fromEntries(
    Array.from({length: 1_400}, (_, index) => [
      `i-${index}`,
      {runs: 1, memoryTokens: index, prefillTokens: 0},
    ]),
  );
  const {bytes, omitted} = fleetMessage.encode(message(loads));
  t.true(bytes.length <= fleetMessage.MAX_MESSAGE_BYTES);
  t.true(omitted.includes('loads'));
  const read = fleetMessage.parse(bytes);
  t.is(read?.digest.configurationVersion, 7);
  const kept = Object.values(read?.digest.loads ?? {});
  t.true(kept.length > 0);
  t.true(kept.every(load => load.memoryTokens >= 1_400 - kept.length));
});

test('fleet messages: one that fits is read as it was written', t => {
  const written = message({i: {runs: 1, memoryTokens: 2, prefillTokens: 3}});
  const {bytes, omitted} = fleetMessage.encode(written);
  t.deepEqual(omitted, []);
  t.deepEqual(fleetMessage.parse(bytes), written);
});

// Guards against a field that readers reject, and against names that outgrow a datagram.
test('fleet messages: the demand of a gateway is read as it was written, within 2 KB', t => {
  const written = message();
  const demand = [
    {
      endpoint: 'writers',
      waiting: [[1, 20, 3]] as [number, number, number][],
      work: Array.from({length: 8}, (_, index): [string, number] => [
        `${index}`.padStart(128, 'c'),
        12_345,
      ]),
      otherWork: 7,
    },
  ];
  const told = {...written, digest: {...written.digest, demand}};
  const {bytes} = fleetMessage.encode(told);
  t.deepEqual(fleetMessage.parse(bytes), told);
  const before = fleetMessage.encode(written).bytes.length;
  t.log(`${bytes.length - before} bytes`);
  t.true(bytes.length - before <= 2_000);
});

test('fleet messages: a digest of the build before is read, and its reader finds the fields it requires', t => {
  const {digest} = message();
  const old = {digest: {...digest, peers: ['10.0.0.9']}};
  t.deepEqual(fleetMessage.parse(Buffer.from(JSON.stringify(old))), old);
  const read = JSON.parse(fleetMessage.encode(message()).bytes.toString());
  t.is(typeof read.digest.name, 'string');
  t.true(Array.isArray(read.digest.crashes));
  t.true(Array.isArray(read.digest.peers));
});

test('fleet messages: any bytes, and any message with a part replaced, are read or rejected without an error', t => {
  const parts: (keyof fleetMessage.FleetMessage['digest'])[] = [
    'name',
    'loads',
    'crashes',
    'peers',
    'configurationVersion',
    'instancesPosition',
  ];
  fastCheck.assert(
    fastCheck.property(
      fastCheck.uint8Array({maxLength: 300}),
      fastCheck.constantFrom(...parts),
      fastCheck.jsonValue(),
      (bytes, part, value) => {
        fleetMessage.parse(bytes);
        const {digest, fleet} = message();
        const changed = {digest: {...digest, [part]: value}, fleet};
        const read = fleetMessage.parse(Buffer.from(JSON.stringify(changed)));
        return read === undefined || Array.isArray(read.digest.crashes);
      },
    ),
    {seed: SEED, numRuns: 500},
  );
  const number = JSON.stringify(message()).replace('12.5', '1e999');
  t.is(fleetMessage.parse(Buffer.from(number)), undefined);
});

test('fleet messages: one over the bound is rejected', t => {
  const large = JSON.stringify({...message(), padding: 'x'.repeat(8_000)});
  t.is(fleetMessage.parse(Buffer.from(large)), undefined);
});

test('fleet messages: parts of prompts with crashes arrive as they were written, and malformed ones make a message unreadable', t => {
  const written = message();
  const withParts = (promptParts: unknown) =>
    ({
      ...written,
      digest: {...written.digest, promptParts},
    }) as fleetMessage.FleetMessage;
  const valid = withParts([
    ['2b248372b49c', 2, null, [['1k2j3h', 'zz9', 1_500]]],
    ['f2e17a06f98d', 0, 300, []],
  ]);
  t.deepEqual(fleetMessage.parse(fleetMessage.encode(valid).bytes), valid);
  for (const promptParts of [
    [['', 2, null, []]],
    [['a'.repeat(33), 2, null, []]],
    [['a', 2, 'never', []]],
    [['a', 2, -1, []]],
    [['a', 2, null, [['life', 'request', -1]]]],
    [['a', 2, null, [['life', 'request']]]],
    [['a', 2, null, Array.from({length: 17}, () => ['l', 'r', 1])]],
    Array.from({length: 65}, () => ['a', 0, null, []]),
    'none',
  ]) {
    const bytes = Buffer.from(JSON.stringify(withParts(promptParts)));
    t.is(fleetMessage.parse(bytes), undefined);
  }
});

function withEvacuations(
  evacuated: unknown,
  written = message(),
): fleetMessage.FleetMessage {
  return {
    ...written,
    digest: {...written.digest, evacuated},
  } as fleetMessage.FleetMessage;
}

test('fleet messages: evacuated data centres arrive as they were written, and malformed ones make a message unreadable', t => {
  for (const evacuated of [
    [0, []],
    [12, ['galle', 'matara']],
  ]) {
    const valid = withEvacuations(evacuated);
    t.deepEqual(fleetMessage.parse(fleetMessage.encode(valid).bytes), valid);
  }
  for (const evacuated of [
    [-1, []],
    ['1', []],
    [1],
    [1, ['']],
    [1, ['a'.repeat(65)]],
    [1, Array.from({length: 65}, (_, index) => `z-${index}`)],
    [1, 'galle'],
    null,
  ]) {
    const bytes = Buffer.from(JSON.stringify(withEvacuations(evacuated)));
    t.is(fleetMessage.parse(bytes), undefined);
  }
});

test('fleet messages: the largest set of evacuated data centres is sent beside the heaviest loads, within the bound', t => {
  const {MAX_DATA_CENTRES, MAX_NAME_BYTES} = evacuatedDataCentres;
  const names = Array.from({length: MAX_DATA_CENTRES}, (_, index) =>
    `z-${index}`.padEnd(MAX_NAME_BYTES, 'x'),
  );
  const loads = Object.fromEntries(
    Array.from({length: 1_400}, (_, index) => [
      `i-a7e7f98677-${index}`,
      {runs: 11, memoryTokens: 26_870.5, prefillTokens: 2_550.5},
    ]),
  );
  const written = withEvacuations([1_000_000, names], message(loads));
  const {bytes} = fleetMessage.encode(written);
  t.true(bytes.length <= fleetMessage.MAX_MESSAGE_BYTES);
  t.deepEqual(fleetMessage.parse(bytes)?.digest.evacuated?.[1], names);
});

test('fleet messages: speeds arrive as they were written, and malformed ones make a message unreadable', t => {
  const written = message();
  const withSpeeds = (speeds: unknown) =>
    Buffer.from(
      JSON.stringify({...written, digest: {...written.digest, speeds}}),
    );
  const speeds = [
    ['i-1/7', 62, 3],
    ['i-2/7', 160, 0],
  ];
  t.deepEqual(fleetMessage.parse(withSpeeds(speeds))?.digest.speeds, speeds);
  for (const wrong of [
    [['i-1/7', 0, 3]],
    [['i-1/7', -5, 3]],
    [['i-1/7', 62, -1]],
    [['i-1/7', '62', 3]],
    [['i-1/7', 62]],
    Array.from({length: 65}, () => ['i-1/7', 62, 3]),
  ]) {
    t.is(fleetMessage.parse(withSpeeds(wrong)), undefined);
  }
});

test('fleet messages: the largest field of speeds fits beside the loads of a busy gateway', t => {
  const loads = Object.fromEntries(
    Array.from({length: 48}, (_, index) => [
      `i-a7e7f986${index}`,
      {runs: 3, memoryTokens: 11_481, prefillTokens: 3_079, longRuns: 3},
    ]),
  );
  const {digest, fleet} = message(loads);
  const speeds = Array.from(
    {length: 48},
    (_, index) => [`i-a7e7f986${index}/1764867600000`, 100, 3] as const,
  );
  const {omitted} = fleetMessage.encode({digest: {...digest, speeds}, fleet});
  t.deepEqual(omitted, []);
});

const DEPTH = 3_500;
const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH);

// A digest that throws while it is read would end the process that receives it.
test('fleet messages: fields nested deeply, and numbers without bound, are no message', t => {
  const whole = JSON.stringify(
    message({i: {runs: 1, memoryTokens: 2, prefillTokens: 3}}),
  );
  const values = [NESTED, '1e400', '9'.repeat(400), '{"toString":1}'];
  const fields = [
    ['"name":', '"gateway-1"'],
    ['"stateAddress":', '"10.0.0.1:8748"'],
    ['"configurationVersion":', '7'],
    ['"instancesPosition":', '12.5'],
    ['"runs":', '1'],
    ['"crashes":', '[]'],
    ['"incarnation":', '3'],
    ['"members":[[', '"10.0.0.2"'],
  ];
  t.not(fleetMessage.parse(Buffer.from(whole)), undefined);
  for (const [before, field] of fields) {
    t.true(whole.includes(before + field), before);
    for (const value of values) {
      const odd = whole.replace(before + field, before + value);
      const bytes = Buffer.from(odd);
      t.true(bytes.length <= fleetMessage.MAX_MESSAGE_BYTES);
      t.is(fleetMessage.parse(bytes), undefined, before + value.slice(0, 20));
    }
  }
  t.is(fleetMessage.parse(Buffer.from(NESTED)), undefined);
});
