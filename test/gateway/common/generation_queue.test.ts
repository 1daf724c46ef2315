/** Bursts of long generations on engines with little memory, with a simulated clock. */
import * as ava from 'ava';
import * as generationQueue from '../../../src/gateway/common/generation_queue';

const test = ava.default;

function waiting(urgency: number, arrivedAt: number) {
  return {urgency, arrivedAt, objectiveMilliseconds: 1_800};
}

test('queue: generations that fit start at once, ordered by urgency and arrival', t => {
  const queue = new generationQueue.GenerationQueue();
  const entries = [waiting(1, 0), waiting(0, 2), waiting(1, 1), waiting(0, 1)];
  entries.forEach(entry => queue.add(entry));
  const {started} = queue.step(3, () => true);
  t.deepEqual(started, [entries[3], entries[1], entries[0], entries[2]]);
  t.is(queue.length, 0);
});

test('queue: a less urgent generation does not take the memory that an urgent one waits for', t => {
  const queue =
    new generationQueue.GenerationQueue<generationQueue.WaitingGeneration>();
  const urgent = waiting(0, 0);
  const draft = waiting(1, 0);
  queue.add(urgent);
  queue.add(draft);
  const {started} = queue.step(1, entry => entry === draft);
  t.deepEqual(started, []);
});

test('queue: a generation that cannot start in time is refused as soon as that is known, not at its deadline', t => {
  const queue = new generationQueue.GenerationQueue();
  const entry = waiting(1, 0);
  queue.add(entry);
  t.deepEqual(queue.step(900, () => false).refused, []);
  const latest = generationQueue.latestStart(entry);
  t.true(latest < entry.objectiveMilliseconds);
  t.deepEqual(queue.step(latest + 1, () => false).refused, [entry]);
});

test('queue: a burst that exceeds the capacity of the engines is served up to it, and the rest is refused in time', t => {
  const queue = new generationQueue.GenerationQueue();
  const slots = 5;
  let running: number[] = [];
  let started = 0;
  let refused = 0;
  for (let index = 0; index < 30; index++) {
    queue.add(waiting(1, 0));
  }
  for (let now = 0; now <= 2_000; now += 40) {
    running = running.filter(end => end > now);
    const step = queue.step(now, () => {
      if (running.length >= slots) {
        return false;
      }
      running.push(now + 400);
      return true;
    });
    started += step.started.length;
    refused += step.refused.length;
    t.true(step.started.length === 0 || now <= 1_080);
  }
  t.is(started + refused, 30);
  t.is(started, 15);
});

test('queue: its length is bounded', t => {
  const queue = new generationQueue.GenerationQueue();
  let accepted = 0;
  for (let index = 0; index < 1_000; index++) {
    accepted += queue.add(waiting(1, index)) ? 1 : 0;
  }
  t.true(accepted < 100);
});
