/** Recognizes rumors that arrived before, so that each is passed on once. */
import * as fleetMessage from './fleet_message';

/** Number of origins remembered; the oldest are forgotten first. */
const MAX_ORIGINS = 2_048;
/** Sequence numbers below the highest that are still told apart; older ones count as known. */
const WINDOW = 32;

interface OriginWindow {
  process: number;
  highest: number;
  /** Known sequence numbers, from the highest down to the end of the window. */
  readonly known: Set<number>;
}

/** Rumors seen, by origin. */
export class RumorFilter {
  private readonly origins = new Map<string, OriginWindow>();

  /** Returns whether the rumor is new, and remembers it. */
  add(rumor: fleetMessage.Rumor): boolean {
    const window = this.windowOf(rumor);
    const {sequence} = rumor;
    if (window.known.has(sequence) || sequence <= window.highest - WINDOW) {
      return false;
    }
    window.known.add(sequence);
    if (sequence > window.highest) {
      window.highest = sequence;
      window.known.forEach(each => {
        if (each <= sequence - WINDOW) {
          window.known.delete(each);
        }
      });
    }
    return true;
  }

  private windowOf(rumor: fleetMessage.Rumor): OriginWindow {
    const existing = this.origins.get(rumor.origin);
    if (existing !== undefined && existing.process === rumor.process) {
      return existing;
    }
    const window = {
      process: rumor.process,
      highest: 0,
      known: new Set<number>(),
    };
    this.origins.delete(rumor.origin);
    this.origins.set(rumor.origin, window);
    if (this.origins.size > MAX_ORIGINS) {
      this.origins.delete(this.origins.keys().next().value!);
    }
    return window;
  }
}
