/** The set of evacuated data centres, for lists and changes in any order of arrival. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as evacuatedDataCentres from '../../../../src/gateway/common/availability/evacuated_data_centres';

const test = ava.default;
const {EvacuatedDataCentres, MAX_DATA_CENTRES, MAX_NAME_BYTES} =
  evacuatedDataCentres;
const SEED = 20_261_204;
const STORE = 'store';
const PEER = 'gateway-2';

/** Orders and withdrawals in the source; the change at index i makes revision i + 1. */
type History = readonly evacuatedDataCentres.EvacuationChange[];

/** The evacuated data centres as of a revision. */
function setAt(history: History, revision: number): string[] {
  const names = new Set<string>();
  for (const {dataCentre, isEvacuated} of history.slice(0, revision)) {
    if (isEvacuated) {
      names.add(dataCentre);
    } else {
      names.delete(dataCentre);
    }
  }
  return [...names].sort();
}

function namesOf(table: evacuatedDataCentres.EvacuatedDataCentres): string[] {
  return [...(table.toRelay()?.[1] ?? [])].sort();
}

function evacuate(dataCentre: string): evacuatedDataCentres.EvacuationChange {
  return {dataCentre, isEvacuated: true};
}

function reopen(dataCentre: string): evacuatedDataCentres.EvacuationChange {
  return {dataCentre, isEvacuated: false};
}

const historyArbitrary = fastCheck.array(
  fastCheck.record({
    dataCentre: fastCheck.constantFrom('galle', 'matara', 'kandy'),
    isEvacuated: fastCheck.boolean(),
  }),
  {minLength: 1, maxLength: 12},
);
const messageArbitrary = fastCheck.record({
  isWatch: fastCheck.boolean(),
  revision: fastCheck.nat(),
  since: fastCheck.nat(),
});

test('evacuated data centres: after any order of lists, watches and messages of peers the set is that of the newest position, so that old information never restores a withdrawn evacuation', t => {
  fastCheck.assert(
    fastCheck.property(
      historyArbitrary,
      fastCheck.array(messageArbitrary, {maxLength: 30}),
      (history, messages) => {
        const table = new EvacuatedDataCentres();
        let newest = -1;
        for (const message of messages) {
          const revision = message.revision % (history.length + 1);
          if (message.isWatch && table.isKnown) {
            // The watch began at an earlier position of this gateway; a peer may have told of a later one since.
            const since = message.since % (table.position + 1);
            const changes = history.slice(since, Math.max(since, revision));
            const applied = table.applyChanges(revision, changes, STORE, 0);
            t.is(applied, revision > newest);
          } else {
            table.applyList(revision, setAt(history, revision), PEER, 0);
          }
          newest = Math.max(newest, revision);
          t.is(table.position, newest);
          t.deepEqual(namesOf(table), setAt(history, newest));
        }
      },
    ),
    {seed: SEED, numRuns: 500},
  );
});

test('evacuated data centres: an evacuation that is ordered again applies again, with the times since when', t => {
  const table = new EvacuatedDataCentres();
  table.applyList(1, [], STORE, 10);
  table.applyChanges(2, [evacuate('galle')], STORE, 20);
  t.is(table.evacuatedSince('galle'), 20);
  t.is(table.reopenedAt('galle'), undefined);
  table.applyChanges(3, [reopen('galle')], STORE, 30);
  t.is(table.evacuatedSince('galle'), undefined);
  t.is(table.reopenedAt('galle'), 30);
  table.applyList(2, ['galle'], PEER, 35);
  t.is(table.evacuatedSince('galle'), undefined);
  table.applyList(4, ['galle'], PEER, 40);
  t.is(table.evacuatedSince('galle'), 40);
  t.is(table.reopenedAt('galle'), undefined);
});

test('evacuated data centres: a list at the known position changes nothing, so that two gateways cannot alternate', t => {
  const table = new EvacuatedDataCentres();
  table.applyList(5, ['galle'], STORE, 0);
  t.false(table.applyList(5, [], PEER, 1));
  t.deepEqual(namesOf(table), ['galle']);
});

test('evacuated data centres: an empty list makes the set known, also at revision 0', t => {
  const table = new EvacuatedDataCentres();
  t.is(table.toRelay(), undefined);
  t.true(table.applyList(0, [], STORE, 0));
  t.true(table.isKnown);
  t.deepEqual(table.toRelay(), [0, []]);
});

test('evacuated data centres: a watch before the first list is not applied, since its start is not known', t => {
  const table = new EvacuatedDataCentres();
  t.false(table.applyChanges(3, [evacuate('galle')], STORE, 0));
  t.false(table.isKnown);
});

test('evacuated data centres: one update reports each change once, and an update without a change reports nothing', t => {
  const table = new EvacuatedDataCentres();
  const updates: evacuatedDataCentres.EvacuationUpdate[] = [];
  table.onDidChange.subscribe(update => updates.push(update));
  table.applyList(1, ['galle', 'kandy'], STORE, 0);
  table.applyList(2, ['kandy', 'galle'], PEER, 0);
  table.applyChanges(
    4,
    [reopen('galle'), evacuate('matara'), reopen('matara')],
    STORE,
    0,
  );
  t.deepEqual(updates, [
    {
      position: 1,
      origin: STORE,
      changes: [evacuate('galle'), evacuate('kandy')],
    },
    {position: 4, origin: STORE, changes: [reopen('galle')]},
  ]);
});

test('evacuated data centres: beyond the bound further ones are reported and ignored until a place is free, and none in force is dropped', t => {
  const table = new EvacuatedDataCentres();
  const ignored: evacuatedDataCentres.IgnoredEvacuations[] = [];
  table.onDidIgnore.subscribe(each => ignored.push(each));
  const names = Array.from({length: MAX_DATA_CENTRES}, (_, i) => `z-${i}`);
  table.applyList(1, names, STORE, 0);
  table.applyChanges(2, [evacuate('a')], STORE, 0);
  t.is(table.size, MAX_DATA_CENTRES);
  t.is(table.evacuatedSince('a'), undefined);
  t.deepEqual(ignored, [{count: 1, first: 'a'}]);
  table.applyChanges(3, [], STORE, 0);
  t.is(ignored.length, 1);
  table.applyChanges(4, [reopen('z-0')], STORE, 7);
  t.is(table.evacuatedSince('a'), 7);
  t.is(table.size, MAX_DATA_CENTRES);
});

test('evacuated data centres: a name too long for a message is reported and ignored, and the others apply', t => {
  const table = new EvacuatedDataCentres();
  const ignored: evacuatedDataCentres.IgnoredEvacuations[] = [];
  table.onDidIgnore.subscribe(each => ignored.push(each));
  const long = 'ä'.repeat(MAX_NAME_BYTES / 2 + 1);
  table.applyList(1, [long, 'galle'], STORE, 0);
  t.deepEqual(namesOf(table), ['galle']);
  t.deepEqual(ignored, [{count: 1, first: long}]);
});

test('evacuated data centres: the times of reopened data centres are bounded', t => {
  const table = new EvacuatedDataCentres();
  table.applyList(0, [], STORE, 0);
  for (let index = 0; index <= MAX_DATA_CENTRES; index++) {
    table.applyChanges(2 * index + 1, [evacuate(`z-${index}`)], STORE, index);
    table.applyChanges(2 * index + 2, [reopen(`z-${index}`)], STORE, index);
  }
  t.is(table.reopenedAt('z-0'), undefined);
  t.is(table.reopenedAt('z-1'), 1);
  t.is(table.reopenedAt(`z-${MAX_DATA_CENTRES}`), MAX_DATA_CENTRES);
});
