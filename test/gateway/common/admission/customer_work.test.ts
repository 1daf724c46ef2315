/** Work of customers whose generations turn out shorter or longer than estimated, on explicit times. */
import * as ava from 'ava';
import * as customerWork from '../../../../src/gateway/common/admission/customer_work';
import * as workWindow from '../../../../src/gateway/common/admission/work_window';

const test = ava.default;

// Guards against corrections that outlast their estimates: a large customer then looks as if it got nothing.
test('customer work: estimates and their corrections leave the window together', t => {
  const work = new customerWork.CustomerWork();
  for (let now = 0; now < 20_000; now += 100) {
    work.recordArrival('large', now);
    work.recordStart('large', now < 1_000 ? 1_000 : 100, now);
    if (now >= 900 && now < 1_900) {
      work.recordCorrection('large', -900, now - 900, now);
    }
    if (now >= 2_000) {
      const rate = work.rate('large', now);
      t.true(rate >= 900 && rate <= 1_100, `${rate} at ${now}`);
    }
  }
});

test('work window: of late corrections only increases count', t => {
  const window = new workWindow.WorkWindow();
  window.add(100, 0);
  window.add(50, 6_000);
  window.correct(-100, 0, 6_000);
  t.is(window.sum(6_000), 50);
  window.correct(25, 0, 6_000);
  t.is(window.sum(6_000), 75);
});
