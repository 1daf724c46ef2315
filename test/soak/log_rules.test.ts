/** The checks of log lines report acts against clients, and no other lines. */
import * as ava from 'ava';
import * as logRules from '../../soak/log_rules';

const test = ava.default;

test('soak: a gateway that closes connections of clients that behave is a violation', t => {
  const log = [
    '{"level":30,"gateway":"gateway-5","callers":"127.0.0.1:1","msg":"started"}',
    'a line that is no JSON',
    '{"level":40,"gateway":"gateway-5","limit":"kernel","count":2,"last":"127.0.0.1","msg":"client-limit"}',
    '',
  ].join('\n');
  t.deepEqual(logRules.findClientLimits(log), [
    'gateway-5 acted on limit "kernel" 2 times',
  ]);
});
