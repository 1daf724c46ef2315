/** The account of what others make a process hold. */
import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as memoryAccount from '../../../src/base/common/memory_account';

const test = ava.default;
const SEED = 20_261_206;

class Holder extends memoryAccount.MemoryHolder {
  evictions = 0;

  constructor(
    readonly group: string,
    private readonly rank = 0,
    private readonly isFixed = false,
  ) {
    super();
  }

  get evictionRank(): number | undefined {
    return this.isFixed ? undefined : this.rank;
  }

  evict(): void {
    this.evictions++;
  }
}

function createAccount(
  bounds: Partial<memoryAccount.MemoryBounds> = {},
): memoryAccount.MemoryAccount {
  return new memoryAccount.MemoryAccount({
    maxBytes: 100,
    maxHolders: 10,
    smallBytes: Infinity,
    smallReserveBytes: 0,
    ...bounds,
  });
}

test('memory account: beyond the sum the holder without progress for longest gives way', t => {
  const account = createAccount();
  const [stalled, growing, last] = [
    new Holder('a'),
    new Holder('a'),
    new Holder('a'),
  ];
  account.charge(stalled, 50);
  account.charge(growing, 20);
  account.charge(growing, 40);
  t.true(account.charge(last, 20));
  t.deepEqual([stalled.evictions, growing.evictions], [1, 0]);
  t.is(account.totalBytes, 60);
});

test('memory account: the group with the most bytes gives way first, and a lower rank before that', t => {
  const account = createAccount();
  const [small, large, ranked] = [
    new Holder('small'),
    new Holder('large'),
    new Holder('small', -1),
  ];
  account.charge(small, 20);
  account.charge(large, 70);
  account.charge(ranked, 10);
  account.charge(new Holder('other'), 10);
  t.deepEqual(
    [small, large, ranked].map(each => each.evictions),
    [0, 0, 1],
  );
  account.charge(new Holder('other'), 10);
  t.deepEqual(
    [small, large, ranked].map(each => each.evictions),
    [0, 1, 1],
  );
});

test('memory account: a holder that cannot give way stays, and the one that finds no room is not charged', t => {
  const account = createAccount();
  const fixed = new Holder('a', 0, true);
  account.charge(fixed, 90);
  t.false(account.charge(new Holder('b'), 20));
  t.is(fixed.evictions, 0);
  t.is(account.totalBytes, 90);
  t.is(account.holderCount, 1);
});

test('memory account: one holder more than allowed makes another one give way', t => {
  const account = createAccount({maxHolders: 2});
  const [first, second, third] = [
    new Holder('a'),
    new Holder('a'),
    new Holder('a'),
  ];
  [first, second, third].forEach(each => account.charge(each, 1));
  t.deepEqual(
    [first, second, third].map(each => each.evictions),
    [1, 0, 0],
  );
});

test('memory account: a group with large holders takes no more than it leaves free, while small ones find room', t => {
  const account = createAccount({smallBytes: 1, smallReserveBytes: 25});
  const greedy = [0, 1, 2].map(() => new Holder('greedy', 0, true));
  const taken = greedy.map(each => account.charge(each, 20));
  t.deepEqual(taken, [true, true, false]);
  t.true(account.charge(new Holder('other', 0, true), 30));
  t.false(account.charge(new Holder('third', 0, true), 20));
  t.true(account.charge(new Holder('greedy', 0, true), 1));
});

test('memory account: after any sequence the sum and the count are those of the holders, within the bounds', t => {
  const step = fastCheck.record({
    holder: fastCheck.integer({min: 0, max: 15}),
    bytes: fastCheck.integer({min: 0, max: 60}),
    isReleased: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, {maxLength: 80}), steps => {
      const account = createAccount({smallBytes: 5, smallReserveBytes: 20});
      const charged = new Map<Holder, number>();
      const holders = Array.from({length: 16}, (_, index) => {
        const holder = new Holder(
          `group-${index % 3}`,
          index % 2,
          index % 4 === 0,
        );
        holder.evict = () => charged.delete(holder);
        return holder;
      });
      for (const {holder: index, bytes, isReleased} of steps) {
        const holder = holders[index];
        if (isReleased) {
          account.release(holder);
          charged.delete(holder);
        } else if (account.charge(holder, bytes)) {
          charged.set(holder, bytes);
        }
        const sum = [...charged.values()].reduce((a, b) => a + b, 0);
        if (
          account.totalBytes !== sum ||
          account.holderCount !== charged.size ||
          sum > account.bounds.maxBytes ||
          charged.size > account.bounds.maxHolders
        ) {
          return false;
        }
      }
      return true;
    }),
    {seed: SEED, numRuns: 500},
  );
  t.pass();
});
