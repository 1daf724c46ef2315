/** Messages from a side process to an entry, one JSON line for each flush of a link. */
import * as resultCode from '../../base/common/result_code';

/** What an endpoint instance carries at the time of the message. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Memory forecast over memory capacity of the engine; above 1 it will overflow. */
  readonly memoryPressure: number;
  /** Output tokens that the waiting and running work is expected to need. */
  readonly outstandingTokens: number;
  readonly isLeaving: boolean;
  readonly isEndpointAlive: boolean;
  readonly revision: number;
}

/** Returns the fields that differ from the report before. */
export function loadChange(
  before: LoadReport | undefined,
  after: LoadReport,
): LoadChange {
  if (before === undefined) {
    return after;
  }
  const fields = Object.entries(after).filter(
    ([name, value]) =>
      JSON.stringify(before[name as keyof LoadReport]) !==
      JSON.stringify(value),
  );
  return Object.fromEntries(fields) as LoadChange;
}

/** First message on each link. */
export interface LinkHello {
  readonly instance: string;
  /** Distinguishes a replaced process at the same address. */
  readonly incarnation: string;
  readonly endpoint: string;
  readonly dataCentre: string;
}

/** Consecutive tokens of one attempt. */
export interface TokenFrame {
  readonly attempt: string;
  /** Index of the first token. */
  readonly index: number;
  readonly texts: readonly string[];
}

/** How an attempt ended. */
export enum AttemptOutcome {
  Completed = 'completed',
  Failed = 'failed',
}

/** End of one attempt. */
export interface EndFrame {
  readonly attempt: string;
  /** Number of tokens generated. */
  readonly length: number;
  readonly outcome: AttemptOutcome;
  readonly finishReason?: string;
  readonly code?: resultCode.ResultCode;
  readonly message?: string;
  readonly workState?: resultCode.WorkState;
  readonly retryAfterSeconds?: number;
}

/** An endpoint's death as seen by its side process. */
export interface DeathFrame {
  /** Distinguishes this death from others of the same instance. */
  readonly death: string;
  readonly fingerprints: readonly string[];
}

/** Fields of a load report that changed since the one before on the same link. */
export type LoadChange = Partial<LoadReport>;

/** One flush of a link. A line without members is a heartbeat. */
export interface LinkLine {
  readonly hello?: LinkHello;
  readonly load?: LoadChange;
  readonly tokens?: readonly TokenFrame[];
  readonly ends?: readonly EndFrame[];
  readonly deaths?: readonly DeathFrame[];
}

/** Time between heartbeats on an idle link, in milliseconds. */
export const LINK_HEARTBEAT_MILLISECONDS = 1_000;

/** Silence after which a link is given up, in milliseconds. */
export const LINK_IDLE_TIMEOUT_MILLISECONDS = 3_500;
