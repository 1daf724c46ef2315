/** What gateways serve each other as their state. */
import * as ava from 'ava';
import * as stateCodec from '../../src/gateway/node/fleet/state_codec';
import * as gatewayRecords from '../support/gateway_records';

const test = ava.default;

test('state codec: a configuration that was completed is not served as it was before', async t => {
  const encoder = new stateCodec.StateEncoder();
  const encode = async (hasAllowedRegions: boolean) => {
    const state = {
      configurationRevision: 1,
      configuration: gatewayRecords.configurationOf({hasAllowedRegions}),
      instancesPosition: 1,
      instances: [],
    };
    return stateCodec.decode(await encoder.encode(state, false));
  };
  t.false((await encode(false)).configuration?.hasAllowedRegions);
  t.true((await encode(true)).configuration?.hasAllowedRegions);
});
