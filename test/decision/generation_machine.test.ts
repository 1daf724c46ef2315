import * as ava from 'ava';
import * as fastCheck from 'fast-check';
import * as failure from '../../src/base/common/failure';
import * as resultCode from '../../src/base/common/result_code';
import * as generationMachine from '../../src/decision/common/generation_machine';
import * as linkMessages from '../../src/protocol/common/link_messages';
import * as sideCalls from '../../src/protocol/common/side_calls';

const test = ava.default;
const {GenerationMachine, CommandKind, GenerationPhase} = generationMachine;
type Machine = generationMachine.GenerationMachine;
type Command = generationMachine.Command;

const TARGET = {attempt: 'a1', instance: 'engine-1', incarnation: 'i1'};
const ACCEPTED: sideCalls.CallReply = {isAccepted: true};

function machineOf(isStream: boolean, mayRetry = true): Machine {
  return new GenerationMachine(isStream, () => mayRetry);
}

function running(isStream: boolean): Machine {
  const machine = machineOf(isStream);
  machine.placed(TARGET);
  machine.handoffReplied('a1', ACCEPTED);
  return machine;
}

function refusedWith(code: resultCode.ResultCode): sideCalls.CallReply {
  return {isAccepted: false, failure: failure.notRun(code, 'refused')};
}

function failed(workState: resultCode.WorkState): linkMessages.EndFrame {
  return {
    attempt: 'a1',
    length: 0,
    outcome: linkMessages.AttemptOutcome.Failed,
    code: resultCode.ResultCode.EndpointLost,
    message: 'lost',
    workState,
  };
}

interface WorkStateCase {
  readonly title: string;
  readonly steps: (machine: Machine) => Command[];
  readonly work: resultCode.WorkState;
  readonly code: resultCode.ResultCode;
}

const WORK_STATE_CASES: readonly WorkStateCase[] = [
  {
    title: 'no instance accepts the work',
    steps: machine =>
      machine.placementFailed(
        failure.notRun(resultCode.ResultCode.NoEndpoint, 'none'),
      ),
    work: resultCode.WorkState.NotRun,
    code: resultCode.ResultCode.NoEndpoint,
  },
  {
    title: 'the hand-off was refused',
    steps: machine => {
      machine.placed(TARGET);
      return machine.handoffReplied(
        'a1',
        refusedWith(resultCode.ResultCode.EndpointLeaving),
      );
    },
    work: resultCode.WorkState.NotRun,
    code: resultCode.ResultCode.RetryBudgetSpent,
  },
  {
    title: 'the hand-off was never sent',
    steps: machine => {
      machine.placed(TARGET);
      return machine.handoffLost('a1', true);
    },
    work: resultCode.WorkState.NotRun,
    code: resultCode.ResultCode.RetryBudgetSpent,
  },
  {
    title: 'the reply was lost and the withdrawal was confirmed',
    steps: machine => {
      machine.placed(TARGET);
      machine.handoffLost('a1', false);
      return machine.withdrawn('a1', sideCalls.TombstoneState.NeverStarted);
    },
    work: resultCode.WorkState.NotRun,
    code: resultCode.ResultCode.RetryBudgetSpent,
  },
  {
    title: 'the reply was lost and a new incarnation responds',
    steps: machine => {
      machine.placed(TARGET);
      machine.handoffLost('a1', false);
      return machine.withdrawn('a1', sideCalls.TombstoneState.IncarnationGone);
    },
    work: resultCode.WorkState.Unknown,
    code: resultCode.ResultCode.RetryBudgetSpent,
  },
  {
    title: 'the reply was lost and the side process is gone',
    steps: machine => {
      machine.placed(TARGET);
      machine.handoffLost('a1', false);
      return machine.instanceLost('gone');
    },
    work: resultCode.WorkState.Unknown,
    code: resultCode.ResultCode.RetryBudgetSpent,
  },
  {
    title: 'the attempt ran and its endpoint was lost',
    steps: machine => {
      machine.placed(TARGET);
      machine.handoffReplied('a1', ACCEPTED);
      return machine.ended(failed(resultCode.WorkState.Ran));
    },
    work: resultCode.WorkState.Ran,
    code: resultCode.ResultCode.RetryBudgetSpent,
  },
];

for (const {title, steps, work, code} of WORK_STATE_CASES) {
  test(`the work state is ${work} when ${title}`, t => {
    const [command] = steps(machineOf(true, false));
    t.is(command.kind, CommandKind.Fail);
    if (command.kind === CommandKind.Fail) {
      t.is(command.cause.workState, work);
      t.is(command.cause.code, code);
    }
  });
}

test('a later refusal does not hide that an earlier attempt may have run', t => {
  const machine = machineOf(true);
  machine.placed(TARGET);
  machine.handoffLost('a1', false);
  machine.withdrawn('a1', sideCalls.TombstoneState.IncarnationGone);
  t.is(machine.phase, GenerationPhase.Placing);
  machine.placed({...TARGET, attempt: 'a2', instance: 'engine-2'});
  machine.handoffReplied(
    'a2',
    refusedWith(resultCode.ResultCode.EndpointLeaving),
  );
  t.is(machine.phase, GenerationPhase.Placing);
  const [command] = machine.placementFailed(
    failure.notRun(resultCode.ResultCode.NoEndpoint, 'none'),
  );
  t.true(
    command.kind === CommandKind.Fail &&
      command.cause.workState === resultCode.WorkState.Unknown,
  );
});

test('a stream that delivered tokens is never run again', t => {
  const machine = running(true);
  machine.tokensArrived({attempt: 'a1', index: 0, texts: ['x', 'y']});
  const [command] = machine.instanceLost('gone');
  t.true(
    command.kind === CommandKind.Fail &&
      command.cause.code === resultCode.ResultCode.Interrupted &&
      command.cause.message.includes('after 2 tokens'),
  );
});

test('a response that is not streamed is run again from index 0 after its endpoint was lost', t => {
  const machine = running(false);
  machine.tokensArrived({attempt: 'a1', index: 0, texts: ['x', 'y']});
  t.deepEqual(machine.instanceLost('gone'), [{kind: CommandKind.Place}]);
  machine.placed({...TARGET, attempt: 'a2', instance: 'engine-2'});
  t.deepEqual(machine.tokensArrived({attempt: 'a2', index: 0, texts: ['z']}), [
    {kind: CommandKind.Deliver, index: 0, texts: ['z']},
  ]);
});

test('late output of an abandoned attempt is dropped', t => {
  const machine = running(false);
  machine.instanceLost('gone');
  machine.placed({...TARGET, attempt: 'a2', instance: 'engine-2'});
  t.deepEqual(
    machine.tokensArrived({attempt: 'a1', index: 0, texts: ['x']}),
    [],
  );
  t.deepEqual(machine.ended({...failed(resultCode.WorkState.Ran)}), []);
});

test('an accepted hand-off whose reply is lost continues without a second run', t => {
  const machine = machineOf(true);
  machine.placed(TARGET);
  machine.handoffLost('a1', false);
  t.deepEqual(machine.withdrawn('a1', sideCalls.TombstoneState.Started), [
    {kind: CommandKind.Attach, target: TARGET, fromIndex: 0},
  ]);
});

test('the attempt is released when the caller disconnects during the hand-off', t => {
  const machine = machineOf(true);
  machine.placed(TARGET);
  t.deepEqual(machine.abandon(), [{kind: CommandKind.Release, target: TARGET}]);
  t.deepEqual(machine.handoffReplied('a1', ACCEPTED), []);
});

/** Frames as a faulty link may deliver them: repeated, skipped or reordered. */
const frameSchedule = fastCheck.record({
  length: fastCheck.integer({min: 0, max: 30}),
  chunks: fastCheck.array(
    fastCheck.record({
      from: fastCheck.integer({min: 0, max: 30}),
      size: fastCheck.integer({min: 0, max: 10}),
      isForeign: fastCheck.boolean(),
    }),
    {maxLength: 40},
  ),
});

test('whatever frames a link repeats, skips or reorders, the output equals that of one run', t => {
  fastCheck.assert(
    fastCheck.property(frameSchedule, ({length, chunks}) => {
      const run = Array.from({length}, (_, index) => `t${index}`);
      const machine = running(true);
      const output: string[] = [];
      const execute = (commands: Command[]) => {
        for (const command of commands) {
          if (command.kind === CommandKind.Deliver) {
            t.is(command.index, output.length);
            output.push(...command.texts);
          }
          if (command.kind === CommandKind.Attach) {
            const texts = run.slice(command.fromIndex);
            const frame = {attempt: 'a1', index: command.fromIndex, texts};
            execute(machine.tokensArrived(frame));
          }
        }
      };
      for (const {from, size, isForeign} of chunks) {
        const index = Math.min(from, length);
        const texts = run.slice(index, index + size);
        const attempt = isForeign ? 'other' : 'a1';
        const wrong = texts.map(text => `wrong-${text}`);
        execute(
          machine.tokensArrived({
            attempt,
            index,
            texts: isForeign ? wrong : texts,
          }),
        );
      }
      const end: linkMessages.EndFrame = {
        attempt: 'a1',
        length,
        outcome: linkMessages.AttemptOutcome.Completed,
        finishReason: 'stop',
      };
      execute(machine.ended(end));
      execute(machine.ended(end));
      return output.join() === run.join();
    }),
    {seed: 20261204, numRuns: 500},
  );
  t.pass();
});
