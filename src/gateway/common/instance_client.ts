/** Calls that a gateway makes to endpoint instances. */
import * as neverthrow from 'neverthrow';
import * as instanceTable from './instance_table';
import * as instanceLimits from './limits/instance_limits';

/** A decoded request of a caller. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query string as sent. */
  readonly target: string;
  readonly path: string;
  readonly host: string;
  readonly attemptId: string | undefined;
  /** Time that the caller is willing to wait; undefined when not given. */
  readonly waitMilliseconds: number | undefined;
  /** API key; undefined when none was sent. */
  readonly key: string | undefined;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Keys, of at most 32 characters, of the prompt's parts that other requests may share, in order; without the last part, which is the request's own. */
  readonly sharedParts: readonly string[];
  /** The caller's own estimate of the output length in tokens. */
  readonly lengthHint: number | undefined;
  readonly lastEventId: string | undefined;
  /** Id of the attempt that brought the first event of the stream that the caller resumes; undefined if it resumes none. */
  readonly resumedAttemptId: string | undefined;
  /** Headers to forward: name, value, name, value. Excludes hop-by-hop headers and those that only the system sets. */
  readonly passedHeaders: readonly string[];
}

/** Resumes a run from a copy of its memory. */
export interface Continuation {
  /** Address of the instance that made the copy. */
  readonly sourceAddress: string;
  readonly handle: string;
}

/** A request to an instance. */
export interface InstanceRequest {
  readonly caller: CallerRequest;
  /** The body in chunks, which stay as they are until the exchange is closed. */
  readonly body: readonly Buffer[];
  readonly remainingMilliseconds: number;
  /** Whether the caller's attempt was sent to this address before, so that an answer to that send could be taken for one to this send. */
  readonly isSentAgain: boolean;
  readonly customer: string | undefined;
  /** 0 is admitted first; undefined for plain services. */
  readonly urgency: number | undefined;
  /** Id of the last delivered event; overrides the one sent by the caller. */
  readonly lastEventId: string | undefined;
  readonly continuation: Continuation | undefined;
  /** Address of the instance that keeps a continuously updated copy. */
  readonly backupAddress: string | undefined;
}

/** Instance at which a generation continues. */
export interface RunTarget {
  readonly instance: instanceTable.Instance;
  /** Undefined to start over or to resume by event id alone. */
  readonly continuation: Continuation | undefined;
}

/** Reason for which no response was received. */
export enum SendError {
  /** No connection could be made, so the request never left this process. */
  NeverSent = 'never-sent',
  /** Never sent, for a reason local to this process: cancelled before a connection was made, or not writable. */
  Withdrawn = 'withdrawn',
  /** The connection ended or violated the protocol; the request may have been executed. */
  ConnectionLost = 'connection-lost',
  /** The response belongs to another request or is corrupt; the request may have been executed. */
  WrongAnswer = 'wrong-answer',
  /** No response in time; the request may have been executed. */
  TimedOut = 'timed-out',
  /** Cancelled by this gateway. */
  Cancelled = 'cancelled',
}

/** Whether the error proves that the instance did not receive the request. */
export function wasNeverSent(error: SendError | undefined): boolean {
  return error === SendError.NeverSent || error === SendError.Withdrawn;
}

/** A time that an instance names in an answer. */
export interface AnswerTime {
  /** Undefined if the text is no time; at most an hour. */
  readonly milliseconds: number | undefined;
  /** The time as the instance wrote it, shortened. */
  readonly text: string;
}

/** What an instance says of itself in an answer; undefined parts are not in the answer. */
export interface InstanceStatements {
  /** Limit that the instance names. */
  readonly limit: instanceLimits.AnswerLimit | undefined;
  /** Time until the instance is warm. */
  readonly warmUp: AnswerTime | undefined;
  /** Time after which the instance asks to be sent requests again. */
  readonly retryAfter: AnswerTime | undefined;
  /** Whether the instance is about to stop, and its text, shortened. */
  readonly leaving:
    {readonly isLeaving: boolean; readonly text: string} | undefined;
}

/** Status and headers of an instance's response; the body is still to be read. */
export interface InstanceResponse extends InstanceStatements {
  readonly status: number;
  /** Whether the instance states that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** Whether callers take the status as a promise that the request did not run and never will. */
  readonly promisesNotRun: boolean;
  /** Whether another instance has the address and answered that it did not execute the request. */
  readonly isFromOtherInstance: boolean;
  /** Whether the response carries the server stamp that a success requires. */
  readonly hasServerStamp: boolean;
  /** Headers to forward to the caller: name, value, name, value. */
  readonly passedHeaders: readonly string[];
  readonly body: ResponseBody;
}

/** Receives the body of a response. Either `onDidEnd` or `onDidFail` is called, exactly once. */
export interface BodyListener {
  onData(chunk: Buffer): void;
  /** The body is complete. */
  onDidEnd(): void;
  /** The body was truncated. */
  onDidFail(reason: string): void;
}

/** Body of a response. No data is lost before `listen`, which is called once. */
export interface ResponseBody {
  /** Whether the end of the body is marked, so that truncation can be detected. */
  readonly isDelimited: boolean;
  listen(listener: BodyListener): void;
  pause(): void;
  resume(): void;
}

/** A request in flight. */
export interface Exchange {
  readonly response: Promise<neverthrow.Result<InstanceResponse, SendError>>;
  /** Resolves when nothing of the request is being sent any more. */
  readonly closed: Promise<void>;
  /** Closes the connection, upon which the instance drops the request. */
  cancel(): void;
}

/** Reason for which a run was not copied. */
export enum CopyError {
  /** The instance has no such run. */
  NoSuchRun = 'no-such-run',
  /** Another instance has the address. */
  OtherInstance = 'other-instance',
  /** Another copy of the run is in progress. */
  Busy = 'busy',
  /** The target has no memory or is unreachable; if the copy was final, the run has stopped and can resume at its source. */
  NoRoom = 'no-room',
  /** Nothing listens at the address of the source. */
  Refused = 'refused',
  /** No connection to the source was made in time. */
  Unreachable = 'unreachable',
  /** The source gave no usable answer, or ended the connection; the run may have been copied and stopped. */
  NoAnswer = 'no-answer',
}

/** A copy of a run's memory at another instance. */
export interface RunCopy {
  readonly handle: string;
  /** Number of events generated when the copy was made. */
  readonly eventCount: number;
}

/** A failed copy; the handle is set when the source keeps the memory of a stopped run. */
export interface CopyFailure {
  readonly error: CopyError;
  readonly handle: string | undefined;
}

/** Parameters for copying a run. */
export interface CopyRequest {
  readonly attemptId: string;
  readonly target: instanceTable.Instance;
  /** Whether the run is stopped before the last part of its memory is copied. */
  readonly isFinal: boolean;
  readonly timeoutMilliseconds: number;
}

/** Status reported by an engine instance. */
export interface InstanceReport {
  /** Number of events generated by each run on the instance, by attempt id. */
  readonly eventsByRun: ReadonlyMap<string, number>;
  readonly queuedRuns: number;
  /** Memory in use that cannot be freed, in tokens. */
  readonly memoryTokens: number;
  /** Memory in use that no listed run accounts for, in tokens: copies, and prompts that are being read. */
  readonly unlistedMemoryTokens: number;
  /** Memory left for runs and copies, in tokens; Infinity when not given. */
  readonly freeMemoryTokens: number;
  /** Start of the incarnation that reports, in Unix milliseconds; 0 when not given. */
  readonly startedAt: number;
  /** Whether the instance is about to terminate. */
  readonly isLeaving: boolean;
}

/** Client for endpoint instances, shared by all parts of a gateway. */
export abstract class InstanceClient {
  abstract send(
    instance: instanceTable.Instance,
    request: InstanceRequest,
  ): Exchange;
  abstract copyRun(
    source: instanceTable.Instance,
    request: CopyRequest,
  ): Promise<neverthrow.Result<RunCopy, CopyFailure>>;
  /** Releases a copy that will not be used. */
  abstract dropCopy(source: instanceTable.Instance, handle: string): void;
  /** Reads the report of an engine, by default within the timeout of control calls; undefined when none was received. Each read costs as much as a health check. */
  abstract readReport(
    instance: instanceTable.Instance,
    timeoutMilliseconds?: number,
  ): Promise<InstanceReport | undefined>;
}
