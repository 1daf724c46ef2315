/** One soak: load and faults for a while, a calm end, and the verdict. */
import * as timers from 'node:timers/promises';
import * as callers from './callers';
import * as deployment from './deployment';
import * as faults from './faults';
import * as ledger from './ledger';
import * as probe from './probe';
import * as random from './random';

/** Time at the end without faults, in milliseconds; every gateway serves again within it. */
const CALM_MILLISECONDS = 6_000;
/** Time in which started work ends after the last request, in milliseconds. */
const SETTLE_MILLISECONDS = 500;
const LOOK_MILLISECONDS = 50;

/** What to play. */
export interface SoakPlan {
  readonly seed: number;
  readonly milliseconds: number;
  readonly size: deployment.DeploymentSize;
  readonly callers: number;
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
    await checkRecovery(target, book);
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
): Promise<void> {
  const [key] = [...target.keys].slice(-1);
  await Promise.all(
    target.gateways.map(async gateway => {
      const isServing = await Promise.race([
        untilServing(gateway, key, book).then(() => true),
        timers.setTimeout(CALM_MILLISECONDS, false),
      ]);
      if (!isServing) {
        book.noteUnexpected(
          'recovery',
          `${gateway.name} serves no read ${CALM_MILLISECONDS} ms after the last fault`,
        );
      }
    }),
  );
}

async function untilServing(
  gateway: {readonly address: string; readonly name: string},
  key: string,
  book: ledger.Ledger,
): Promise<void> {
  while ((await probe.probe(gateway, key, book)) !== 200) {
    await timers.setTimeout(LOOK_MILLISECONDS);
  }
}
