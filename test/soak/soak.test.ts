/** A short soak test with a fixed seed: real gateway processes under faults violate no guarantee. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as ava from 'ava';
import * as soak from '../../soak/soak';

const test = ava.default;
const SEED = 7;
/** Longer than any restart on a busy machine; the test's timeout limits it. */
const RECOVERY_MILLISECONDS = 90_000;

test('soak: a few seconds with a fixed seed violate no guarantee', async t => {
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-test-'));
  t.teardown(() => fs.rmSync(directory, {recursive: true}));
  const faults: object[] = [];
  const result = await soak.runSoak({
    seed: SEED,
    milliseconds: 4_000,
    size: {gateways: 3, engines: 3, services: 2},
    callers: 8,
    recoveryMilliseconds: RECOVERY_MILLISECONDS,
    logFile: path.join(directory, 'gateways.log'),
    reportFault: event => faults.push(event),
  });
  t.deepEqual(result.violations, []);
  t.true(faults.length > 0);
  t.true(Object.values(result.requests).length > 0);
});
