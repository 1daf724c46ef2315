/** Messages from a side process to an entry, sent as one JSON line per flush of a link. */
import * as resultCode from '../../base/common/result_code';

/** Load of an endpoint instance when the message was sent. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Predicted memory use divided by the memory capacity of the engine; above 1 the memory will overflow. */
  readonly memoryPressure: number;
  /** Expected number of output tokens of the waiting and running work. */
  readonly outstandingTokens: number;
  readonly isLeaving: boolean;
  readonly isEndpointAlive: boolean;
  readonly revision: number;
}

/** Returns the fields that differ from the previous report. */
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
  /** Identifies one run of the process, to tell it from a replacement at the same address. */
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

/** Crash of an endpoint instance as detected by its side process. */
export interface CrashFrame {
  /** Identifies this crash among those of the same instance. */
  readonly death: string;
  /** Requests that were running at the crash. */
  readonly fingerprints: readonly string[];
}

/** Fields of a load report that changed since the previous one on the same link. */
export type LoadChange = Partial<LoadReport>;

/** One flush of a link. A line with only a load is a heartbeat. */
export interface LinkLine {
  readonly hello?: LinkHello;
  readonly load?: LoadChange;
  readonly tokens?: readonly TokenFrame[];
  readonly ends?: readonly EndFrame[];
  readonly deaths?: readonly CrashFrame[];
}

/** Time between heartbeats on an idle link, in milliseconds. */
export const LINK_HEARTBEAT_MILLISECONDS = 1_000;

/** Time without data after which a link is closed, in milliseconds. */
export const LINK_IDLE_TIMEOUT_MILLISECONDS = 3_500;
