/**
 * Lets prompts with suspected parts through one at a time in the whole fleet. A
 * gateway claims the parts, tells its peers, and tries a prompt once a claim of
 * another gateway would have arrived. Of claims made at the same time that of the
 * gateway with the smallest name holds.
 */

/** Time in which a claim reaches all gateways, in milliseconds. */
export const SETTLE_MILLISECONDS = 400;
/** Interval at which a claim that is held is told again, in milliseconds. */
const RENEWAL_MILLISECONDS = 2_000;
/** Time after which a claim that was not told again ends, in milliseconds. */
const CLAIM_LIFETIME_MILLISECONDS = 7_000;
/** Maximum number of prompts that one gateway tries at a time. */
export const MAX_CLAIMS = 16;
/** Parts by which the claim of a group is known, the first ones. */
const PARTS_PER_CLAIM = 4;

interface OwnClaim {
  readonly parts: ReadonlySet<string>;
}

interface PeerClaims {
  readonly parts: ReadonlySet<string>;
  /** Monotonic milliseconds. */
  readonly toldAt: number;
}

/** A prompt that is tried. */
export class PromptTrial {
  private hasEnded = false;

  constructor(
    private readonly isHeld: () => boolean,
    private readonly release: () => void,
  ) {}

  /** Whether the claim holds, so that the prompt may be sent. */
  get mayStart(): boolean {
    return !this.hasEnded && this.isHeld();
  }

  /** Releases the claim. */
  end(): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.release();
    }
  }
}

/** Claims of this gateway and of its peers. */
export class PromptTrials {
  private readonly own = new Set<OwnClaim>();
  private readonly peers = new Map<string, PeerClaims>();
  private hasChanged = false;
  private toldAt = -Infinity;

  constructor(private readonly ownName: string) {}

  /** Claims the parts of a group, in their order, for a prompt; undefined if another prompt with the group is tried. */
  claim(group: readonly string[], now: number): PromptTrial | undefined {
    const parts = group.slice(0, PARTS_PER_CLAIM);
    if (this.own.size >= MAX_CLAIMS || this.isClaimed(parts, now)) {
      return undefined;
    }
    const claim: OwnClaim = {parts: new Set(parts)};
    this.own.add(claim);
    this.hasChanged = true;
    return new PromptTrial(
      () => !this.isClaimedByPeer(parts, performance.now(), this.ownName),
      () => {
        this.own.delete(claim);
        this.hasChanged = true;
      },
    );
  }

  /** Whether a prompt with one of the parts is tried now. */
  isClaimed(parts: readonly string[], now: number): boolean {
    return (
      [...this.own].some(claim => parts.some(each => claim.parts.has(each))) ||
      this.isClaimedByPeer(parts, now)
    );
  }

  /** Whether peers have to be told of the claims of this gateway. */
  isDue(now: number): boolean {
    const isRenewalDue =
      this.own.size > 0 && now - this.toldAt >= RENEWAL_MILLISECONDS;
    return this.hasChanged || isRenewalDue;
  }

  markTold(now: number): void {
    this.hasChanged = false;
    this.toldAt = now;
  }

  /** Parts that this gateway claims, for its peers. */
  toRelay(): string[] {
    return [...new Set([...this.own].flatMap(({parts}) => [...parts]))];
  }

  /** Replaces the claims of a peer. */
  setPeerClaims(name: string, parts: readonly string[], now: number): void {
    if (parts.length === 0) {
      this.peers.delete(name);
      return;
    }
    this.peers.set(name, {parts: new Set(parts), toldAt: now});
  }

  private isClaimedByPeer(
    parts: readonly string[],
    now: number,
    before?: string,
  ): boolean {
    for (const [name, claims] of this.peers) {
      if (now - claims.toldAt > CLAIM_LIFETIME_MILLISECONDS) {
        this.peers.delete(name);
        continue;
      }
      const isEarlier = before === undefined || name < before;
      if (isEarlier && parts.some(each => claims.parts.has(each))) {
        return true;
      }
    }
    return false;
  }
}
