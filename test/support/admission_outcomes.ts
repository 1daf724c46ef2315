/** Loads of customers, and what became of their generations. */

/** A stream of generations of one customer. */
export interface Load {
  readonly customer: string;
  readonly perSecond: number;
  readonly objectiveMilliseconds?: number;
  readonly urgency?: number;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly serviceMilliseconds?: number;
  /** Times between which it arrives, in milliseconds. */
  readonly from?: number;
  readonly to?: number;
  /** Gateways at which it arrives, in turn; all by default. */
  readonly gateways?: readonly number[];
}

/** What became of one generation. */
export interface Outcome {
  readonly load: Load;
  readonly arrivedAt: number;
  startedAt: number | undefined;
  firstEventAt: number | undefined;
  refusedAt: number | undefined;
}

/** Share of the outcomes whose first event came within the objective. */
export function shareInTime(outcomes: readonly Outcome[]): number {
  const inTime = outcomes.filter(
    ({arrivedAt, firstEventAt, load}) =>
      firstEventAt !== undefined &&
      firstEventAt - arrivedAt <= (load.objectiveMilliseconds ?? 1_000),
  );
  return inTime.length / outcomes.length;
}

/** Number of outcomes that began. */
export function countServed(outcomes: readonly Outcome[]): number {
  return outcomes.filter(each => each.firstEventAt !== undefined).length;
}
