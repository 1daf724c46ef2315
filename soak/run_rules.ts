/** Finds requests that ran at more than one replica although they must not. */

/** How a run began. */
export enum RunOrigin {
  New = 'new',
  /** Goes on after an event, without a copy of the run before. */
  Event = 'event',
  /** Goes on from a copy that existed. */
  Copy = 'copy',
}

/** A run at a replica. */
export interface Run {
  readonly replica: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly origin: RunOrigin;
  /** Infinity while the replica works on it. */
  endedAt: number;
}

interface TimeRange {
  readonly from: number;
  to: number;
}

/** Time within which the run before must have stopped when a run goes on elsewhere, in milliseconds. */
const STOP_LIMIT_MILLISECONDS = 400;
/** Time without a fault before a run goes on from which its gateway counts as able to stop the run before, in milliseconds. */
const FAULT_FREE_MILLISECONDS = 1_000;

/** Which requests may run again, and when runs must have stopped. */
export class RunRules {
  private readonly unreachable: {
    replica: string | undefined;
    range: TimeRange;
  }[] = [];

  /** Records that no gateway reaches the replica; undefined stands for all replicas. The returned function records the end. */
  beginUnreachable(
    replica: string | undefined,
    at: number,
  ): (at: number) => void {
    const range: TimeRange = {from: at, to: Infinity};
    this.unreachable.push({replica, range});
    return endsAt => (range.to = endsAt);
  }

  /**
   * Describes what is wrong with the runs of one request, in the order of their beginnings.
   *
   * @param gatewayHadFault Whether the gateway of the request had a fault of its own in the time.
   */
  check(
    runs: readonly Run[],
    isAtMostOnce: boolean,
    gatewayHadFault: (from: number, to: number) => boolean,
  ): string[] {
    const found: string[] = [];
    const begun = runs.filter(run => run.origin !== RunOrigin.Copy);
    if (isAtMostOnce && begun.length > 1) {
      found.push(`ran at ${begun.map(run => run.replica).join(', ')}`);
    }
    for (const [index, run] of runs.entries()) {
      const from = run.at - FAULT_FREE_MILLISECONDS;
      const to = run.at + STOP_LIMIT_MILLISECONDS;
      if (run.origin !== RunOrigin.Copy || gatewayHadFault(from, to)) {
        continue;
      }
      const working = runs
        .slice(0, index)
        .filter(
          before =>
            before.replica !== run.replica &&
            before.endedAt > to &&
            !this.wasUnreachable(before.replica, from, to),
        );
      found.push(
        ...working.map(
          ({replica, endedAt}) =>
            `went on at ${run.replica} while ${replica} worked on it for ${Math.round(endedAt - run.at)} ms`,
        ),
      );
    }
    return found;
  }

  private wasUnreachable(replica: string, from: number, to: number): boolean {
    return this.unreachable.some(
      each =>
        (each.replica === undefined || each.replica === replica) &&
        each.range.from <= to &&
        each.range.to >= from,
    );
  }
}
