/** Messages between two gateways, and bytes that are none. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as directMessage from '../../../../src/gateway/common/fleet/direct_message';
import * as fleetMessage from '../../../../src/gateway/common/fleet/fleet_message';

const test = ava.default;
const REQUEST: directMessage.DirectMessage = {
  permitRequest: {sequence: 7, life: 'i-1/5', wanted: 3, limit: [1.7, 20]},
};

test('direct message: a message is read as it was written', t => {
  const grant: directMessage.DirectMessage = {
    permitGrant: {
      sequence: 7,
      life: 'i-1/5',
      granted: 0,
      retryMilliseconds: 250,
      limit: [null, 3],
    },
  };
  const others: readonly directMessage.DirectMessage[] = [
    {
      permitRequest: {
        ...REQUEST.permitRequest!,
        limit: [null, 1e21],
        ramp: [5, 8_000, 0, 7, 0],
      },
    },
    {
      permitGrant: {
        ...grant.permitGrant!,
        isCold: true,
        warmUp: [0, 12, 7, 1],
      },
    },
    {begunStreams: [['933bc43c118800c1', 'v1.2']]},
    {versionQuery: {sequence: 1, attemptId: '933bc43c118800c1'}},
    {versionAnswer: {sequence: 1, softwareVersion: 'v1.2'}},
    {versionAnswer: {sequence: 1, softwareVersion: null}},
  ];
  for (const message of [REQUEST, grant, ...others]) {
    const bytes = directMessage.encode(message);
    t.true(directMessage.isDirect(bytes));
    t.deepEqual(directMessage.parse(bytes), message);
  }
});

test('direct message: it is none to the reader of other messages', t => {
  t.is(fleetMessage.parse(directMessage.encode(REQUEST)), undefined);
});

for (const [name, value] of [
  ['infinity', '1e400'],
  ['a negative number', '-1'],
  ['a fraction', '0.5'],
  ['too large', '257'],
  ['text', '"3"'],
] as const) {
  test(`direct message: a number of permits that is ${name} is rejected`, t => {
    const text = directMessage.encode(REQUEST).toString();
    const changed = text.replace('"wanted":3', `"wanted":${value}`);
    t.is(directMessage.parse(Buffer.from(changed)), undefined);
  });
}

test('direct message: no bytes make the reader throw', t => {
  fastCheck.assert(
    fastCheck.property(fastCheck.uint8Array({maxLength: 64}), bytes => {
      directMessage.isDirect(bytes);
      directMessage.parse(bytes);
      directMessage.parse(Buffer.concat([Buffer.from('{"direct":'), bytes]));
    }),
    {seed: 20_261_204},
  );
  t.pass();
});
