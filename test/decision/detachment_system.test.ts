import * as ava from 'ava';
import * as attemptTable from '../../src/decision/common/attempt_table';
import * as detachmentSystem from '../../src/decision/common/detachment_system';
import * as lengthPredictor from '../../src/decision/common/length_predictor';
import * as generationRequest from '../../src/protocol/common/generation_request';

const test = ava.default;
const GRACE = 1_000;
const RETENTION = 5_000;
const DELIVERED = 2_000;
const {AttemptState} = attemptTable;

interface Case {
  readonly title: string;
  readonly change: (attempt: attemptTable.Attempt) => void;
  readonly isEnded: boolean;
  /** Milliseconds after which the attempt expires; undefined for never. */
  readonly after: number | undefined;
}

const CASES: readonly Case[] = [
  {
    title: 'running and attached',
    change: () => undefined,
    isEnded: false,
    after: undefined,
  },
  {
    title: 'running and detached',
    change: row => (row.link = ''),
    isEnded: false,
    after: GRACE,
  },
  {
    title: 'ended and detached',
    change: row => (row.link = ''),
    isEnded: true,
    after: RETENTION,
  },
  {
    title: 'ended and sent, with its release lost',
    change: row => (row.nextToSend = 1),
    isEnded: true,
    after: RETENTION,
  },
  {
    title: 'ended and handed to the connection of its caller',
    change: row => {
      row.link = '';
      row.isDelivered = true;
    },
    isEnded: true,
    after: DELIVERED,
  },
  {
    title: 'ended and not sent yet',
    change: () => undefined,
    isEnded: true,
    after: undefined,
  },
  {
    title: 'ended and paused for a slow reader',
    change: row => (row.isPaused = true),
    isEnded: true,
    after: undefined,
  },
];

for (const {title, change, isEnded, after} of CASES) {
  test(`an attempt ${title} is kept ${after === undefined ? 'indefinitely' : `${after} ms`}`, t => {
    const table = new attemptTable.AttemptTable();
    const distribution = new lengthPredictor.LengthPredictor().distribution(
      'c',
      'r',
    );
    const request = {prompt: ''} as generationRequest.GenerationRequest;
    const attempt = table.add('a', request, distribution, 'link', 0);
    attempt.state = AttemptState.Running;
    attempt.tokens.push('x');
    if (isEnded) {
      table.end(attempt, AttemptState.Completed, 0);
    }
    change(attempt);
    const system = new detachmentSystem.DetachmentSystem({
      reattachGraceMilliseconds: GRACE,
      retentionMilliseconds: RETENTION,
      deliveredMilliseconds: DELIVERED,
      tombstoneMilliseconds: 60_000,
    });
    const at = after ?? 1_000_000;
    t.deepEqual(system.findExpired(table, at), []);
    t.is(system.findExpired(table, at + 1).length, after === undefined ? 0 : 1);
  });
}
