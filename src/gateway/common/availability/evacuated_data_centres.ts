/**
 * The data centres that operators evacuate, as of a position of the state
 * source. Handles evacuations that are ordered, withdrawn and ordered again
 * while the source, links and gateways fail: reads and messages of peers
 * arrive in any order, and older ones never replace newer ones.
 */
import * as rxjs from 'rxjs';
import * as zod from 'zod';

/** Largest number of data centres that are evacuated at the same time; any more are ignored. */
export const MAX_DATA_CENTRES = 64;
/** Longest name of a data centre in a message, in bytes; with the largest number of them a message still fits a datagram. */
export const MAX_NAME_BYTES = 64;

/** Names beyond the largest number that are remembered, to take the place of evacuations that end. */
const MAX_IGNORED = 1_024;

/** Evacuated data centres in a message between gateways: position, names. */
export type RelayedEvacuations = readonly [number, readonly string[]];

/** Schema of such a message. */
export const relayedEvacuationsSchema = zod.z.tuple([
  zod.z.number().min(0).refine(Number.isFinite),
  zod.z.array(zod.z.string().min(1).max(MAX_NAME_BYTES)).max(MAX_DATA_CENTRES),
]);

/** A data centre that was evacuated or reopened by one update. */
export interface EvacuationChange {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
}

/** The changes made by one update. */
export interface EvacuationUpdate {
  readonly position: number;
  /** Name of the peer that told of it, or of the source. */
  readonly origin: string;
  readonly changes: readonly EvacuationChange[];
}

/** Evacuations that are not in force because their names are too long or there are too many. */
export interface IgnoredEvacuations {
  readonly count: number;
  readonly first: string;
}

/** Evacuated data centres of one gateway. */
export class EvacuatedDataCentres {
  /** Fires when data centres are evacuated or reopened. */
  readonly onDidChange = new rxjs.Subject<EvacuationUpdate>();
  /** Fires when further evacuations are ignored. */
  readonly onDidIgnore = new rxjs.Subject<IgnoredEvacuations>();
  /** Monotonic milliseconds since when each data centre is known to be evacuated. */
  private evacuated = new Map<string, number>();
  private readonly reopened = new Map<string, number>();
  private ignored: ReadonlySet<string> = new Set();
  private lastPosition: number | undefined;

  /** Whether the set is known, from the source or a peer. */
  get isKnown(): boolean {
    return this.lastPosition !== undefined;
  }

  /** Revision of the source as of which the set is known; 0 before the first. */
  get position(): number {
    return this.lastPosition ?? 0;
  }

  get size(): number {
    return this.evacuated.size;
  }

  /** Monotonic milliseconds since when the data centre is known to be evacuated; undefined if it is not. */
  evacuatedSince(dataCentre: string): number | undefined {
    return this.evacuated.get(dataCentre);
  }

  /** Monotonic milliseconds at which the data centre was last reopened; undefined if it is evacuated or this gateway saw no evacuation end. */
  reopenedAt(dataCentre: string): number | undefined {
    return this.reopened.get(dataCentre);
  }

  /** Forgets the position, since the source was restored from a copy and counts anew; what is in force stays so until it is read again. */
  enterEra(): void {
    if (this.lastPosition !== undefined) {
      this.lastPosition = 0;
    }
  }

  /** Replaces the set unless it is known as of the position or a later one; returns whether it was applied. */
  applyList(
    position: number,
    dataCentres: readonly string[],
    origin: string,
    now: number,
  ): boolean {
    if (this.lastPosition !== undefined && position <= this.lastPosition) {
      return false;
    }
    this.replace(position, new Set(dataCentres), origin, now);
    return true;
  }

  /**
   * Applies all changes between a position at which the set was known here and
   * a later one, in their order; returns whether they were applied. The set may
   * have advanced in between: repeating changes that it includes has no effect
   * on the result, since the last change of each data centre decides.
   */
  applyChanges(
    position: number,
    changes: readonly EvacuationChange[],
    origin: string,
    now: number,
  ): boolean {
    if (this.lastPosition === undefined || position <= this.lastPosition) {
      return false;
    }
    const next = new Set([...this.evacuated.keys(), ...this.ignored]);
    for (const {dataCentre, isEvacuated} of changes) {
      if (isEvacuated) {
        next.add(dataCentre);
      } else {
        next.delete(dataCentre);
      }
    }
    this.replace(position, next, origin, now);
    return true;
  }

  /** The set for peers; undefined before it is known. */
  toRelay(): RelayedEvacuations | undefined {
    return this.lastPosition === undefined
      ? undefined
      : [this.lastPosition, [...this.evacuated.keys()]];
  }

  private replace(
    position: number,
    dataCentres: ReadonlySet<string>,
    origin: string,
    now: number,
  ): void {
    this.lastPosition = position;
    const kept = this.select(dataCentres);
    const changes: EvacuationChange[] = [];
    for (const dataCentre of this.evacuated.keys()) {
      if (!kept.has(dataCentre)) {
        changes.push({dataCentre, isEvacuated: false});
        this.recordReopening(dataCentre, now);
      }
    }
    const next = new Map<string, number>();
    for (const dataCentre of kept) {
      const since = this.evacuated.get(dataCentre);
      if (since === undefined) {
        changes.push({dataCentre, isEvacuated: true});
        this.reopened.delete(dataCentre);
      }
      next.set(dataCentre, since ?? now);
    }
    this.evacuated = next;
    if (changes.length > 0) {
      this.onDidChange.next({position, origin, changes});
    }
  }

  /** Returns the data centres that are in force, those that were before first; reports the others once. */
  private select(dataCentres: ReadonlySet<string>): ReadonlySet<string> {
    const known = [...dataCentres].filter(each => this.evacuated.has(each));
    const added = [...dataCentres].filter(each => !this.evacuated.has(each));
    const readable = [...known, ...added].filter(isReadable);
    const kept = new Set(readable.slice(0, MAX_DATA_CENTRES));
    const ignoredBefore = this.ignored;
    this.ignored = new Set(
      added.filter(each => !kept.has(each)).slice(0, MAX_IGNORED),
    );
    const reported = [...this.ignored].filter(each => !ignoredBefore.has(each));
    if (reported.length > 0) {
      this.onDidIgnore.next({count: reported.length, first: reported[0]});
    }
    return kept;
  }

  private recordReopening(dataCentre: string, now: number): void {
    this.reopened.delete(dataCentre);
    this.reopened.set(dataCentre, now);
    if (this.reopened.size > MAX_DATA_CENTRES) {
      this.reopened.delete(this.reopened.keys().next().value!);
    }
  }
}

function isReadable(dataCentre: string): boolean {
  const quotes = 2;
  const bytes = Buffer.byteLength(JSON.stringify(dataCentre)) - quotes;
  return bytes > 0 && bytes <= MAX_NAME_BYTES;
}
