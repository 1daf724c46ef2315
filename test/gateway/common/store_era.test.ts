/** Answers of the store in another era than the one that is known. */
import * as ava from 'ava';
import * as neverthrow from 'neverthrow';
import * as stateSource from '../../../src/gateway/common/state_source';
import * as storeEra from '../../../src/gateway/common/store_era';

const test = ava.default;
const {HistoryLost} = stateSource.SourceError;

function answer(era: number | undefined) {
  return Promise.resolve(neverthrow.ok({revision: 7, era, value: 'x'}));
}

test('store era: only a later era is a change', t => {
  const era = new storeEra.StoreEra();
  const changes: storeEra.EraChange[] = [];
  era.onDidChange.subscribe(change => changes.push(change));
  for (const seen of [undefined, 4, 4, undefined, 3, 6, 5]) {
    era.observe(seen, 'store');
  }
  t.is(era.current, 6);
  t.deepEqual(changes, [{from: 4, to: 6, origin: 'store'}]);
});

test('store era: a read of a later era counts, one of an earlier era does not', async t => {
  const era = new storeEra.StoreEra();
  era.observe(2, 'store');
  t.true((await era.read(answer(3))).isOk());
  t.is((await era.read(answer(2)))._unsafeUnwrapErr(), HistoryLost);
  t.true((await era.read(answer(undefined))).isOk());
});

test('store era: a watch of another era than it began in fails, whoever noticed the era first', async t => {
  const era = new storeEra.StoreEra();
  t.true((await era.watch(answer(1))).isOk());
  t.true((await era.watch(answer(1))).isOk());
  t.is((await era.watch(answer(2)))._unsafeUnwrapErr(), HistoryLost);
  const watched = era.watch(answer(3));
  era.observe(3, 'peer');
  t.is((await watched)._unsafeUnwrapErr(), HistoryLost);
});
