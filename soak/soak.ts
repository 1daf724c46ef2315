/** One soak test: a period of load and faults, a period without faults, and the result. */
import * as fs from 'node:fs';
import * as timers from 'node:timers/promises';
import * as callers from './callers';
import * as deployment from './deployment';
import * as faultInjector from './fault_injector';
import * as logRules from './log_rules';
import * as requestHistory from './request_history';
import * as probe from './probe';
import * as random from './random';

/** Time after the last fault within which every gateway must serve again, in milliseconds; restarts take about one second. */
export const RECOVERY_MILLISECONDS = 6_000;
/** Time for started work to end after the last request, in milliseconds. */
const SETTLE_MILLISECONDS = 500;
const POLL_INTERVAL_MILLISECONDS = 50;
/** Shortest delay of the event loop during which no replica counts as reachable, in milliseconds. */
const STANDSTILL_MILLISECONDS = 150;

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  readonly milliseconds: number;
  readonly size: deployment.DeploymentSize;
  readonly callers: number;
  /** Names of the faults to draw from; undefined for all. */
  readonly faults?: readonly string[];
  /** Time within which every gateway must serve again, in milliseconds. */
  readonly recoveryMilliseconds: number;
  /** File for the log lines of all gateways. */
  readonly logFile: string;
  readonly reportFault: (event: object) => void;
}

/** Result of a soak test. */
export interface SoakResult {
  readonly violations: readonly requestHistory.Violation[];
  readonly requests: Readonly<Record<string, number>>;
  /** Number of runs by how they began. */
  readonly runs: Readonly<Record<string, number>>;
  readonly p99Milliseconds: number;
}

/** Runs one soak test. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const history = new requestHistory.RequestHistory();
  const target = new deployment.Deployment(history, options.logFile);
  const killGateways = () => target.gateways.forEach(each => each.kill());
  process.once('exit', killGateways);
  const standstills = watchStandstills(history);
  try {
    await target.start(options.size);
    await Promise.all(
      target.gateways.map(gateway => untilServing(gateway, 'key-0', history)),
    );
    const load = new callers.Callers(
      target,
      history,
      new random.Random(options.seed + 1),
    );
    const injector = new faultInjector.FaultInjector(
      target,
      history,
      new random.Random(options.seed),
      options.reportFault,
    );
    const loading = load.run(options.callers);
    const injecting = injector.run(options.faults);
    await timers.setTimeout(options.milliseconds);
    injector.stop();
    await injecting;
    await checkRecovery(target, history, options.recoveryMilliseconds);
    load.stop();
    await loading;
    await timers.setTimeout(SETTLE_MILLISECONDS);
    logRules
      .findClientLimits(fs.readFileSync(options.logFile, 'utf8'))
      .forEach(detail => history.recordViolation('client-limit', detail));
    return {
      violations: history.violations(),
      requests: history.summary(),
      runs: history.runSummary(),
      p99Milliseconds: load.latencies.getValueAtPercentile(99),
    };
  } finally {
    process.off('exit', killGateways);
    clearInterval(standstills);
    await target.stop();
  }
}

/** Records delays of the event loop, during which no replica of this process can answer. */
function watchStandstills(
  history: requestHistory.RequestHistory,
): NodeJS.Timeout {
  let lastAt = performance.now();
  return setInterval(() => {
    const now = performance.now();
    if (now - lastAt > POLL_INTERVAL_MILLISECONDS + STANDSTILL_MILLISECONDS) {
      history.runRules.beginUnreachable(undefined, lastAt)(now);
    }
    lastAt = now;
  }, POLL_INTERVAL_MILLISECONDS);
}

/** Checks that every gateway serves again once the faults are over. */
async function checkRecovery(
  target: deployment.Deployment,
  history: requestHistory.RequestHistory,
  recoveryMilliseconds: number,
): Promise<void> {
  const [key] = [...target.keys].slice(-1);
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), recoveryMilliseconds);
  await Promise.all(
    target.gateways.map(async gateway => {
      await untilServing(gateway, key, history, timeout.signal);
      if (timeout.signal.aborted) {
        history.recordViolation(
          'recovery',
          `${gateway.name} serves no read ${recoveryMilliseconds} ms after the last fault`,
        );
      }
    }),
  );
  clearTimeout(timer);
}

/** Resolves when the gateway serves a read, or when the signal aborts the wait. */
async function untilServing(
  gateway: {readonly address: string; readonly name: string},
  key: string,
  history: requestHistory.RequestHistory,
  signal?: AbortSignal,
): Promise<void> {
  while ((await probe.probe(gateway, key, history)) !== 200) {
    if (signal?.aborted) {
      return;
    }
    await timers.setTimeout(POLL_INTERVAL_MILLISECONDS);
  }
}
