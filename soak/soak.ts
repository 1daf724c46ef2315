/** One soak: load and faults for a while, a calm end, and the verdict. */
import * as timers from 'node:timers/promises';
import * as callers from './callers';
import * as deployment from './deployment';
import * as faults from './faults';
import * as ledger from './ledger';
import * as probe from './probe';
import * as random from './random';

/** Time after the last fault in which every gateway serves again, in milliseconds; restarts take about one second. */
export const RECOVERY_MILLISECONDS = 6_000;
/** Time in which started work ends after the last request, in milliseconds. */
const SETTLE_MILLISECONDS = 500;
const LOOK_MILLISECONDS = 50;

/** What to play. */
export interface SoakPlan {
  readonly seed: number;
  readonly milliseconds: number;
  readonly size: deployment.DeploymentSize;
  readonly callers: number;
  /** Time in which every gateway serves again, in milliseconds. */
  readonly recoveryMilliseconds: number;
  /** Collects the log lines of all gateways. */
  readonly logFile: string;
  readonly report: (event: object) => void;
}

/** What came of it. */
export interface SoakVerdict {
  readonly violations: readonly ledger.Violation[];
  readonly requests: Readonly<Record<string, number>>;
  readonly p99Milliseconds: number;
}

/** Plays one soak. */
export async function runSoak(plan: SoakPlan): Promise<SoakVerdict> {
  const book = new ledger.Ledger();
  const target = new deployment.Deployment(book, plan.logFile);
  const abandon = () => target.gateways.forEach(each => each.abandon());
  process.once('exit', abandon);
  try {
    await target.start(plan.size);
    await Promise.all(
      target.gateways.map(gateway => untilServing(gateway, 'key-0', book)),
    );
    const load = new callers.Callers(
      target,
      book,
      new random.Random(plan.seed + 1),
    );
    const trouble = new faults.Faults(
      target,
      book,
      new random.Random(plan.seed),
      plan.report,
    );
    const loading = load.run(plan.callers);
    const troubling = trouble.run();
    await timers.setTimeout(plan.milliseconds);
    trouble.stop();
    await troubling;
    await checkRecovery(target, book, plan.recoveryMilliseconds);
    load.stop();
    await loading;
    await timers.setTimeout(SETTLE_MILLISECONDS);
    return {
      violations: book.violations(),
      requests: book.summary(),
      p99Milliseconds: load.latencies.getValueAtPercentile(99),
    };
  } finally {
    process.off('exit', abandon);
    await target.stop();
  }
}

/** Every gateway serves again once the faults are over. */
async function checkRecovery(
  target: deployment.Deployment,
  book: ledger.Ledger,
  recoveryMilliseconds: number,
): Promise<void> {
  const [key] = [...target.keys].slice(-1);
  const giveUp = new AbortController();
  const timer = setTimeout(() => giveUp.abort(), recoveryMilliseconds);
  await Promise.all(
    target.gateways.map(async gateway => {
      await untilServing(gateway, key, book, giveUp.signal);
      if (giveUp.signal.aborted) {
        book.noteUnexpected(
          'recovery',
          `${gateway.name} serves no read ${recoveryMilliseconds} ms after the last fault`,
        );
      }
    }),
  );
  clearTimeout(timer);
}

/** Resolves when the gateway serves a read, or when that is given up. */
async function untilServing(
  gateway: {readonly address: string; readonly name: string},
  key: string,
  book: ledger.Ledger,
  giveUp?: AbortSignal,
): Promise<void> {
  while ((await probe.probe(gateway, key, book)) !== 200) {
    if (giveUp?.aborted) {
      return;
    }
    await timers.setTimeout(LOOK_MILLISECONDS);
  }
}
