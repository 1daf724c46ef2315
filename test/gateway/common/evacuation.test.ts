/** Evacuation of an instance that terminates within a second or two, over a link that carries one copy at a time. */
import * as ava from 'ava';
import * as evacuation from '../../../src/gateway/common/evacuation';

const test = ava.default;

function plan(...values: number[]): evacuation.Evacuation<string> {
  return new evacuation.Evacuation(
    values.map(value => ({run: `run-${value}`, value})),
    0,
  );
}

test('evacuation: the most valuable run is copied first, one at a time', t => {
  const leaving = plan(1, 3, 2);
  const first = leaving.next(0)!;
  t.is(first.run, 'run-3');
  t.is(leaving.next(0), undefined);
  leaving.markCopied(first, 160);
  t.is(leaving.next(160)!.run, 'run-2');
});

test('evacuation: a run without a copy is copied before one whose copy is outdated', t => {
  const leaving = plan(3, 1);
  const first = leaving.next(0)!;
  leaving.markCopied(first, 160);
  t.is(leaving.next(1_000)!.run, 'run-1');
});

test('evacuation: a copy is refreshed until the run is done', t => {
  const leaving = plan(1);
  const only = leaving.next(0)!;
  leaving.markCopied(only, 160);
  t.is(leaving.next(170), undefined);
  t.is(leaving.next(600), only);
  only.state = evacuation.EvacuationState.Done;
  t.true(leaving.isDone);
});

test('evacuation: a failed copy is retried after a pause, and other runs are copied meanwhile', t => {
  const leaving = plan(3, 1);
  const first = leaving.next(0)!;
  leaving.markFailed(first, 10, 80);
  t.is(leaving.next(10)!.run, 'run-1');
});

test('evacuation: as many runs are copied one at a time as the notice allows, most valuable first', t => {
  const leaving = plan(1, 2, 3, 4, 5, 6, 7, 8);
  const copyMilliseconds = 300;
  const copied: string[] = [];
  for (let now = 0; now + copyMilliseconds <= 1_500; now += copyMilliseconds) {
    const next = leaving.next(now)!;
    leaving.markCopied(next, now + copyMilliseconds);
    copied.push(next.run);
  }
  t.deepEqual(copied, ['run-8', 'run-7', 'run-6', 'run-5', 'run-4']);
});

test('evacuation: a run that was placed on the instance during its notice is included', t => {
  const leaving = plan(1);
  leaving.markCopied(leaving.next(0)!, 160);
  leaving.add('late', 9, 200);
  t.is(leaving.next(200)!.run, 'late');
});
