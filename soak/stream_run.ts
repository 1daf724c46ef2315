/** One run of a stream at a replica. */
import * as http from 'node:http';
import * as answers from './answers';
import * as copies from './copies';

/** Interval between the pieces of a stream at common speed, in milliseconds. */
const PIECE_INTERVAL_MILLISECONDS = 20;

/** What a run does, and how its replica behaves. */
export interface StreamRunOptions {
  readonly attempt: string;
  /** Number of pieces of the complete stream. */
  readonly pieces: number;
  /** Software version of the replica. */
  readonly version: string;
  /** Speed relative to the common one. */
  readonly speed: number;
  readonly response: http.ServerResponse;
  readonly headers: Readonly<Record<string, string>>;
  readonly isUnframed: boolean;
  /** Whether the run goes on after its connection has broken. */
  readonly worksOn: boolean;
  /** Time after which the connection is reset in place of an answer, in milliseconds; undefined if the answer is sent. */
  readonly lossMilliseconds: number | undefined;
  readonly isPaused: () => boolean;
  /** Whether the connection stops delivering while the run goes on. */
  readonly isStalled: () => boolean;
  readonly onEnd: () => void;
}

/** Makes the pieces of a stream until it is complete, stopped or dropped. */
export class StreamRun {
  readonly attempt: string;
  readonly isUnframed: boolean;
  backup: copies.BackupTransfer | undefined;
  private readonly timer: NodeJS.Timeout;
  private isDelivering: boolean;
  private hasEnded = false;

  constructor(
    private readonly options: StreamRunOptions,
    /** Number of pieces made so far. */
    public sentPieces: number,
  ) {
    const {response, lossMilliseconds} = options;
    this.attempt = options.attempt;
    this.isUnframed = options.isUnframed;
    this.isDelivering = lossMilliseconds === undefined;
    if (lossMilliseconds === undefined) {
      response.useChunkedEncodingByDefault = !options.isUnframed;
      response.writeHead(200, {
        ...options.headers,
        'Content-Type': 'text/event-stream',
      });
    } else {
      setTimeout(() => this.breakConnection(), lossMilliseconds);
    }
    this.timer = setInterval(
      () => this.makePiece(),
      PIECE_INTERVAL_MILLISECONDS / options.speed,
    );
    response.once('close', () => {
      this.isDelivering = false;
      if (!options.worksOn) {
        this.end(false);
      }
    });
  }

  /** Resets the connection, upon which most replicas drop the run. */
  breakConnection(): void {
    this.options.response.socket?.resetAndDestroy();
  }

  /** Stops the run, and closes its stream without its end. */
  stop(): void {
    this.end(false);
    this.options.response.destroy();
  }

  /** Closes a stream without length or chunks in order, inside an event. */
  breakInsideEvent(): void {
    const {attempt, version, response} = this.options;
    const event = answers.pieceEvent(attempt, this.sentPieces + 1, version);
    this.end(false);
    response.end(event.slice(0, -1));
  }

  /** Ends the run without a change of its connection. */
  end(hasEndedWell: boolean): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      clearInterval(this.timer);
      this.backup?.end(hasEndedWell);
      this.options.onEnd();
    }
  }

  private makePiece(): void {
    const {attempt, pieces, version, response} = this.options;
    if (this.options.isPaused()) {
      return;
    }
    // What a stalled connection did not deliver is missing for good.
    this.isDelivering &&= !this.options.isStalled();
    if (this.sentPieces < pieces) {
      this.sentPieces++;
      if (this.isDelivering) {
        response.write(answers.pieceEvent(attempt, this.sentPieces, version));
      }
      return;
    }
    if (this.isDelivering) {
      response.end(answers.endEvent(attempt, pieces, version));
    }
    // Without its connection a run has not ended well, and its backup is kept.
    this.end(this.isDelivering);
  }
}
