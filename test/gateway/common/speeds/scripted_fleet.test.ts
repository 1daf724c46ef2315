/** Drafts and checks of many gateways before uneven engines, with the rates of the second deployment of hard-load.md. */
import * as ava from 'ava';
import * as scriptedFleet from '../../../support/scripted_fleet';

const test = ava.default;
const DRAFT: scriptedFleet.ScriptedKind = {
  perSecond: 15.7,
  promptTokens: 3_079,
  outputTokens: 748,
  objectiveMilliseconds: 1_806,
};
const CHECK: scriptedFleet.ScriptedKind = {
  perSecond: 17.6,
  promptTokens: 2_550,
  outputTokens: 8,
  objectiveMilliseconds: 1_504,
};
const SPEEDS = Array.from({length: 32}, (_, index) => 0.6 + index / 31);

for (const seed of [1, 2, 3]) {
  test(`32 engines at 0.6 to 1.6, seed ${seed}: less than one draft in twenty has a pause over 180 ms, and checks are answered within their objective`, t => {
    const fleet = new scriptedFleet.ScriptedFleet(
      24,
      SPEEDS,
      true,
      scriptedFleet.drawsFrom(seed),
    );
    fleet.run(40_000, [DRAFT, CHECK]);
    const drafts = fleet.outcomes.filter(({kind}) => kind === DRAFT);
    const late = drafts.filter(
      ({longestPause}) => longestPause > scriptedFleet.MAX_PAUSE_MILLISECONDS,
    );
    t.true(
      late.length < drafts.length / 20,
      `${late.length} of ${drafts.length}`,
    );
    const ended = fleet.outcomes.filter(
      ({kind, arrivedAt}) => kind === CHECK && arrivedAt < 35_000,
    );
    const slow = ended.filter(
      ({arrivedAt, firstEventAt}) =>
        firstEventAt - arrivedAt > CHECK.objectiveMilliseconds,
    );
    t.true(slow.length < ended.length / 100, `${slow.length} slow checks`);
    // A field of 48 entries has about 1,400 bytes.
    t.true(fleet.speedBytes / 24 / 400 < 100, `${fleet.speedBytes} bytes`);
  });
}
