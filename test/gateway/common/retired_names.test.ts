/** API keys and routes that later versions of the configuration removed. */
import * as ava from 'ava';
import * as retiredNames from '../../../src/gateway/common/retired_names';
import * as gatewayRecords from '../../support/gateway_records';

const test = ava.default;

function version(keys: readonly string[], prefixes: readonly string[]) {
  return gatewayRecords.configurationOf({
    routes: prefixes.map(prefix => gatewayRecords.route(prefix)),
    customers: [{name: 'customer', keys}],
  });
}

test('retired: a key is retired when a version removes it, and no longer when a version restores it', t => {
  const retired = new retiredNames.RetiredNames();
  retired.update(version(['a', 'b'], []), version(['b'], []));
  t.true(retired.hasKey('a'));
  t.false(retired.hasKey('b'));
  t.false(retired.hasKey('never-seen'));
  t.false(retired.hasKey(undefined));
  retired.update(version(['b'], []), version(['a', 'b'], []));
  t.false(retired.hasKey('a'));
});

test('retired: paths of a removed route are recognized by its prefix', t => {
  const retired = new retiredNames.RetiredNames();
  retired.update(version([], ['/a/b/', '/c/']), version([], ['/c/']));
  t.true(retired.hasRoute('H.Example', '/a/b/some/path'));
  t.true(retired.hasRoute('h.example', '/a/b/'));
  t.false(retired.hasRoute('h.example', '/a/'));
  t.false(retired.hasRoute('h.example', '/c/x'));
  t.false(retired.hasRoute('other.example', '/a/b/x'));
});

test('retired: the oldest names are removed', t => {
  const retired = new retiredNames.RetiredNames();
  const names = Array.from({length: 10_001}, (_, index) => `key-${index}`);
  retired.update(version(names, []), version([], []));
  t.false(retired.hasKey('key-0'));
  t.true(retired.hasKey('key-10000'));
});
