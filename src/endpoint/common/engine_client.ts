/** A model engine as a side process uses it. */
import * as rxjs from 'rxjs';
import * as sideCalls from '../../protocol/common/side_calls';

/** A generation as given to the engine. */
export interface EngineRequest {
  /** Identifies the run at the engine; a repeated start with it does not run twice. */
  readonly run: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Higher runs first. */
  readonly priority: number;
}

/** What comes back from a running generation. */
export enum EngineEventKind {
  Token = 'token',
  Finished = 'finished',
}

/** One event of a running generation. */
export interface EngineEvent {
  readonly kind: EngineEventKind;
  /** Index of the token; for Finished the number of tokens. */
  readonly index: number;
  readonly text: string;
  readonly finishReason?: string;
}

/** Why a stream from the engine ended without a Finished event. */
export enum EngineErrorKind {
  /** The engine refused the request before running it. */
  Refused = 'refused',
  /** The connection failed or fell silent; the run may go on. */
  ConnectionLost = 'connection-lost',
  /** The engine does not know the run. */
  RunUnknown = 'run-unknown',
}

/** Raised by streams from the engine. */
export class EngineError extends Error {
  constructor(
    readonly kind: EngineErrorKind,
    message: string,
  ) {
    super(message);
  }
}

/** Load of an engine, as it last published it. */
export interface EngineLoad {
  readonly engineIncarnation: string;
  readonly capacityTokens: number;
  readonly usedTokens: number;
  readonly running: number;
  readonly waiting: number;
  readonly preemptions: number;
  /** Subjects of the load orders that it has carried out. */
  readonly loaded: readonly string[];
}

/** Runs generations on one engine. */
export abstract class EngineClient {
  /** Starts a run and streams its events. Raises EngineError. Unsubscribing leaves the run going. */
  abstract start(request: EngineRequest): rxjs.Observable<EngineEvent>;
  /** Streams the events of a run from an index on. Raises EngineError. */
  abstract resume(run: string, fromIndex: number): rxjs.Observable<EngineEvent>;
  /** Ends a run; rejects when the engine does not answer. */
  abstract cancel(run: string): Promise<void>;
  /** Reads the engine's load; rejects when it does not answer. */
  abstract load(): Promise<EngineLoad>;
  /** Gives an order; true when the engine obeyed, false when it refused the fencing number. */
  abstract order(order: sideCalls.EngineOrder): Promise<boolean>;
}
