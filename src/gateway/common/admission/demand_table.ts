/** Demand for generations of all gateways, by endpoint: what waits and what was started lately. */
import * as customerWork from './customer_work';

/** Endpoints with engines that a digest tells of; further ones are left out. */
export const MAX_RELAYED_ENDPOINTS = 8;
/** Urgencies run from 0 to 9. */
export const MAX_URGENCIES = 10;
/** Age from which a peer's waiting generations are ignored, in milliseconds; loads are at most 0.7 s old. */
const WAITING_LIFETIME_MILLISECONDS = 1_000;
/** Endpoints with a table; the oldest are forgotten first. */
const MAX_ENDPOINTS = 256;

/** Generations that wait, by urgency: urgency, their number, and the number of those whose customers are behind the largest. */
export type WaitingCounts = readonly (readonly [number, number, number])[];

/** Demand for one endpoint as sent to peers. */
export interface EndpointDemand extends customerWork.RelayedWork {
  readonly endpoint: string;
  readonly waiting: WaitingCounts;
}

interface PeerWaiting {
  readonly counts: WaitingCounts;
  /** Whether the peer has started or waiting generations. */
  readonly isActive: boolean;
  readonly at: number;
}

/** Demand for one endpoint. */
export class EndpointDemandTable {
  readonly work = new customerWork.CustomerWork();
  private ownWaiting: WaitingCounts = [];
  private readonly peers = new Map<string, PeerWaiting>();

  setOwnWaiting(counts: WaitingCounts): void {
    this.ownWaiting = counts;
  }

  /** Generations that wait here. */
  get waitingHere(): number {
    return sumOf(this.ownWaiting, ([, count]) => count);
  }

  setPeer(peer: string, demand: EndpointDemand, now: number): void {
    this.work.setPeerWork(peer, demand, now);
    const counts = demand.waiting;
    const isActive = counts.length > 0 || demand.work.length > 0;
    this.peers.set(peer, {counts, isActive, at: now});
  }

  removePeer(peer: string, now: number): void {
    if (this.peers.delete(peer)) {
      this.work.setPeerWork(peer, {work: [], otherWork: 0}, now);
    }
  }

  /** Whether generations wait here or at peers. */
  isWaiting(now: number): boolean {
    return this.ownWaiting.length > 0 || this.peersWaiting(now) > 0;
  }

  /** Generations that wait at peers. */
  peersWaiting(now: number): number {
    return this.sumPeers(now, counts => sumOf(counts, ([, count]) => count));
  }

  /** Generations at peers that start before one of this urgency here: more urgent ones, and equally urgent ones of customers that are behind if this one's is not. */
  peersAhead(urgency: number, isBehind: boolean, now: number): number {
    return this.sumPeers(now, counts =>
      sumOf(counts, ([each, count, behind]) => {
        if (each < urgency) {
          return count;
        }
        return each === urgency && !isBehind ? behind : 0;
      }),
    );
  }

  /** Part of the waiting generations of all gateways that wait here, counting one that is about to. */
  ownShare(now: number): number {
    const own = this.waitingHere + 1;
    return own / (own + this.peersWaiting(now));
  }

  /** Gateways that have had generations for the endpoint, with this one. */
  activeGateways(now: number): number {
    let count = 1;
    for (const peer of this.peers.values()) {
      const isFresh = now - peer.at <= WAITING_LIFETIME_MILLISECONDS;
      count += isFresh && peer.isActive ? 1 : 0;
    }
    return count;
  }

  /** What peers are told; undefined without any demand. */
  toRelay(endpoint: string, now: number): EndpointDemand | undefined {
    const relayed = this.work.toRelay(now);
    const waiting = this.ownWaiting;
    const isIdle = relayed.work.length === 0 && waiting.length === 0;
    return isIdle ? undefined : {endpoint, waiting, ...relayed};
  }

  /** Identifies what waits here; empty while nothing does. */
  waitingSignature(endpoint: string): string {
    return this.ownWaiting.length === 0
      ? ''
      : `${endpoint}:${this.ownWaiting.join('/')};`;
  }

  private sumPeers(
    now: number,
    sum: (counts: WaitingCounts) => number,
  ): number {
    let total = 0;
    for (const [peer, {counts, at}] of this.peers) {
      if (now - at <= WAITING_LIFETIME_MILLISECONDS) {
        total += sum(counts);
      } else if (now - at > 10 * WAITING_LIFETIME_MILLISECONDS) {
        this.peers.delete(peer);
      }
    }
    return total;
  }
}

function sumOf(
  counts: WaitingCounts,
  amount: (count: readonly [number, number, number]) => number,
): number {
  return counts.reduce((sum, each) => sum + amount(each), 0);
}

/** Demand for all endpoints. */
export class DemandTable {
  private readonly tables = new Map<string, EndpointDemandTable>();

  of(endpoint: string): EndpointDemandTable {
    const known = this.tables.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    const table = new EndpointDemandTable();
    this.tables.set(endpoint, table);
    if (this.tables.size > MAX_ENDPOINTS) {
      this.tables.delete(this.tables.keys().next().value!);
    }
    return table;
  }

  /** Replaces what waits here, by endpoint. */
  setOwnWaiting(waiting: ReadonlyMap<string, WaitingCounts>): void {
    for (const [endpoint, table] of this.tables) {
      table.setOwnWaiting(waiting.get(endpoint) ?? []);
    }
  }

  /** Replaces the demand of a peer; endpoints that it no longer tells of have none there. */
  setPeerDemand(
    peer: string,
    demands: readonly EndpointDemand[],
    now: number,
  ): void {
    const told = new Set(demands.map(each => each.endpoint));
    for (const [endpoint, table] of this.tables) {
      if (!told.has(endpoint)) {
        table.removePeer(peer, now);
      }
    }
    demands.forEach(each => this.of(each.endpoint).setPeer(peer, each, now));
  }

  /** Demand of this gateway, to be sent to peers. */
  toRelay(now: number): EndpointDemand[] {
    const demands: EndpointDemand[] = [];
    for (const [endpoint, table] of this.tables) {
      const demand = table.toRelay(endpoint, now);
      if (
        demand !== undefined &&
        endpoint.length <= customerWork.MAX_NAME_LENGTH
      ) {
        demands.push(demand);
      }
    }
    return demands.slice(0, MAX_RELAYED_ENDPOINTS);
  }

  /** Identifies what waits here, so that a change can be noticed; empty while nothing waits. */
  waitingSignature(): string {
    return [...this.tables]
      .map(([endpoint, table]) => table.waitingSignature(endpoint))
      .join('');
  }
}
