/** Interface to a model engine. */
import * as rxjs from 'rxjs';
import * as sideCalls from '../../protocol/common/side_calls';

/** A generation request to the engine. */
export interface EngineRequest {
  /** Identifies the run at the engine; a repeated start with the same id does not run twice. */
  readonly run: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Requests with a higher value run first. */
  readonly priority: number;
}

/** Kinds of events in the stream of a generation. */
export enum EngineEventKind {
  Token = 'token',
  Finished = 'finished',
}

/** One event in the stream of a generation. */
export interface EngineEvent {
  readonly kind: EngineEventKind;
  /** Index of the token; for Finished, the number of tokens. */
  readonly index: number;
  readonly text: string;
  readonly finishReason?: string;
}

/** Why a stream from the engine ended without a Finished event. */
export enum EngineErrorKind {
  /** The engine refused the request before running it. */
  Refused = 'refused',
  /** The connection failed or was idle for too long; the run may continue. */
  ConnectionLost = 'connection-lost',
  /** The engine has no record of the run. */
  RunUnknown = 'run-unknown',
}

/** Error that ends a stream from the engine. */
export class EngineError extends Error {
  constructor(
    readonly kind: EngineErrorKind,
    message: string,
  ) {
    super(message);
  }
}

/** Load report published by an engine. */
export interface EngineLoad {
  readonly engineIncarnation: string;
  readonly capacityTokens: number;
  readonly usedTokens: number;
  readonly running: number;
  readonly waiting: number;
  readonly preemptions: number;
  /** Models and adapters that the engine has loaded by order, named as in the orders' subjects. */
  readonly loaded: readonly string[];
}

/** Runs generations on one engine. */
export abstract class EngineClient {
  /** Starts a run and streams its events. Fails with EngineError. Unsubscribing does not cancel the run. */
  abstract start(request: EngineRequest): rxjs.Observable<EngineEvent>;
  /** Streams the events of a run starting at an index. Fails with EngineError. */
  abstract resume(run: string, fromIndex: number): rxjs.Observable<EngineEvent>;
  /** Cancels a run; rejects when the engine does not respond. */
  abstract cancel(run: string): Promise<void>;
  /** Reads the engine's load; rejects when the engine does not respond. */
  abstract load(): Promise<EngineLoad>;
  /** Sends an order; true when the engine executed it, false when it refused the fencing number. */
  abstract order(order: sideCalls.EngineOrder): Promise<boolean>;
}
