/** What gateways conclude from late views of engines, and the room that is kept for urgent generations. */
import * as ava from 'ava';
import * as customerWork from '../../../../src/gateway/common/admission/customer_work';
import * as demandShare from '../../../../src/gateway/common/admission/demand_share';
import * as engineCeilings from '../../../../src/gateway/common/admission/engine_ceilings';
import * as urgentReserve from '../../../../src/gateway/common/admission/urgent_reserve';
import * as generationQueue from '../../../../src/gateway/common/generation_queue';

const test = ava.default;
const ENGINE = 'i-1';

// Guards against a ceiling below the slots that the engine has, for want of news from peers.
test('ceiling: runs of peers that become known after sending explain a wait in the engine', t => {
  const slots = 24;
  const ceilings = new engineCeilings.EngineCeilings();
  ceilings.recordEnd(ENGINE, 1_500, 0);
  ceilings.recordFirstEvent(ENGINE, 0, {runs: 0, slots, sentAt: 0}, 0);
  for (let index = 0; index < 6; index++) {
    const sentAt = 1_000 + index * 50;
    ceilings.recordRuns(ENGINE, 47, sentAt + 700);
    ceilings.recordFirstEvent(
      ENGINE,
      1_500,
      {runs: 20, slots, sentAt},
      sentAt + 1_500,
    );
  }
  t.true(ceilings.ceiling(ENGINE, slots, 2_750) >= 23);
});

// Guards against parts that add up to more than everything while all queues grow.
test('demand share: late numbers of peers change the mean little, single ones much', t => {
  const share = new demandShare.DemandShare();
  const waiting = (at: number) => 5 + 5 * Math.sin(at / 350);
  let largestSingle = 0;
  for (let now = 0; now <= 20_000; now += 40) {
    const own = waiting(now);
    const peers = 2 * waiting(now - 700);
    share.sample(own, peers, now);
    if (now >= 6_000) {
      largestSingle = Math.max(largestSingle, own / (own + peers));
      t.true(Math.abs(share.get(3) - 1 / 3) < 0.05);
    }
  }
  t.true(largestSingle > 0.8);
});

const DRAFT = {
  urgency: 2,
  memoryTokens: 3_800,
  engineId: 'i-1',
  peersWaiting: 0,
};

// Guards against long generations that take the last room, and against room that is kept for nobody.
test('reserve: the last room is kept for more urgent generations while they come', t => {
  const reserve = new urgentReserve.UrgentReserve();
  const free = (...tokens: number[]) =>
    new Map(tokens.map((each, index) => [`i-${index + 1}`, each]));
  t.true(reserve.hasRoom(DRAFT, () => free(3_800), 0));
  reserve.record(0, 2_500, 0);
  t.false(reserve.hasRoom(DRAFT, () => free(6_000), 100));
  t.true(reserve.hasRoom(DRAFT, () => free(6_300), 100));
  t.true(reserve.hasRoom(DRAFT, () => free(3_800, 2_500), 100));
  const rivals = {...DRAFT, peersWaiting: 1};
  t.false(reserve.hasRoom(rivals, () => free(3_800, 2_500), 100));
  t.true(reserve.hasRoom({...DRAFT, urgency: 0}, () => free(3_800), 100));
  t.true(reserve.hasRoom(DRAFT, () => free(3_800), 20_000));
});

function waiting(
  work: customerWork.CustomerWork,
  customer: string,
  arrivedAt: number,
): generationQueue.WaitingGeneration {
  const competitor = {
    endpoint: 'writers',
    customer,
    work,
    cost: {
      promptTokens: 100,
      expectedTokens: 100,
      capacityTokens: Infinity,
      slots: 8,
      readTokensPerMillisecond: 7,
    },
    expectedWork: 50,
    firstArrivedAt: undefined,
    lacksRoom: true,
  };
  const objectiveMilliseconds = 1_000;
  return {urgency: 1, arrivedAt, objectiveMilliseconds, competitor};
}

// Guards against a flood whose aged generations hold back a small customer until its own have aged.
test('queue: aged generations of the largest customer do not go ahead of one that is behind', t => {
  const work = new customerWork.CustomerWork();
  work.recordStart('large', 1_000, 0);
  work.recordArrival('small', 0);
  const queue =
    new generationQueue.GenerationQueue<generationQueue.WaitingGeneration>();
  const large = [0, 1, 2].map(at => waiting(work, 'large', at));
  const small = waiting(work, 'small', 350);
  [...large, small].forEach(each => queue.add(each));
  t.deepEqual(queue.step(360, each => each === small).started, [small]);
});
