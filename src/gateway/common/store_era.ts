/**
 * The history of the state source to which revisions belong. A source that is
 * restored from a copy starts another era: its revisions go back and are given
 * out again, so that revisions and positions of different eras have no order.
 */
import * as neverthrow from 'neverthrow';
import * as rxjs from 'rxjs';
import * as stateSource from './state_source';

/** Logged origin of what this gateway read from the source itself. */
export const SOURCE_ORIGIN = 'store';

/** A change to a later era. */
export interface EraChange {
  readonly from: number;
  readonly to: number;
  /** Name of the peer that told of it, or of the source. */
  readonly origin: string;
}

type Answer<T> = neverthrow.Result<
  stateSource.Snapshot<T>,
  stateSource.SourceError
>;

/** The latest era that this gateway knows of. All revisions and positions that it keeps belong to it. */
export class StoreEra {
  /** Fires when a later era is seen; whatever is known by revisions of the earlier one has to be read again. */
  readonly onDidChange = new rxjs.Subject<EraChange>();
  private era: number | undefined;

  /** Undefined until an answer names one. */
  get current(): number | undefined {
    return this.era;
  }

  /** Records the era of an answer or of a peer; undefined if it names none. */
  observe(era: number | undefined, origin: string): void {
    const from = this.era;
    if (era === undefined || (from !== undefined && era <= from)) {
      return;
    }
    this.era = era;
    if (from !== undefined) {
      this.onDidChange.next({from, to: era, origin});
    }
  }

  /** Whether a revision of the era can be compared with those that this gateway keeps. */
  isCurrent(era: number | undefined): boolean {
    return era === undefined || this.era === undefined || era === this.era;
  }

  /** Waits for a read of the source; one that was answered in an earlier era fails. */
  async read<T>(call: Promise<Answer<T>>): Promise<Answer<T>> {
    const answer = await call;
    if (answer.isErr()) {
      return answer;
    }
    this.observe(answer.value.era, SOURCE_ORIGIN);
    return this.isCurrent(answer.value.era)
      ? answer
      : neverthrow.err(stateSource.SourceError.HistoryLost);
  }

  /** Waits for a watch, which continues from a revision of the current era; it fails if another era begins meanwhile. */
  async watch<T>(call: Promise<Answer<T>>): Promise<Answer<T>> {
    const before = this.era;
    const answer = await this.read(call);
    const hasChanged = before !== undefined && before !== this.era;
    return answer.isOk() && hasChanged
      ? neverthrow.err(stateSource.SourceError.HistoryLost)
      : answer;
  }
}
