/** Table of the endpoint instances to which an entry has links. */
import * as linkMessages from '../../protocol/common/link_messages';

/** State of the link to an instance; work can be handed over while it is up. */
export enum LinkState {
  Connecting = 'connecting',
  Up = 'up',
  Lost = 'lost',
}

/** One endpoint instance with its side process. */
export interface EndpointInstance {
  readonly instance: string;
  readonly endpoint: string;
  readonly address: string;
  readonly dataCentre: string;
  incarnation: string;
  state: LinkState;
  load: linkMessages.LoadReport | undefined;
  /** Monotonic milliseconds of the last load report. */
  loadAt: number;
  /** Expected tokens of work handed over since the last load report. */
  dispatchedTokens: number;
  /** Whether the platform lists the instance as leaving. */
  isListedLeaving: boolean;
}

/** Holds the endpoint instances by name. */
export class EndpointTable {
  private readonly instances = new Map<string, EndpointInstance>();

  get size(): number {
    return this.instances.size;
  }

  get(instance: string): EndpointInstance | undefined {
    return this.instances.get(instance);
  }

  all(): Iterable<EndpointInstance> {
    return this.instances.values();
  }

  put(endpointInstance: EndpointInstance): void {
    this.instances.set(endpointInstance.instance, endpointInstance);
  }

  remove(instance: string): void {
    this.instances.delete(instance);
  }

  /** Stores a load report, which includes all work handed over before it. */
  updateLoad(
    endpointInstance: EndpointInstance,
    load: linkMessages.LoadReport,
    now: number,
  ): void {
    endpointInstance.load = load;
    endpointInstance.loadAt = now;
    endpointInstance.dispatchedTokens = 0;
  }
}

/** Whether the instance accepts new work, by its own load report, which may precede the platform's list, and by that list. */
export function acceptsWork(endpointInstance: EndpointInstance): boolean {
  if (
    endpointInstance.state !== LinkState.Up ||
    endpointInstance.load === undefined
  ) {
    return false;
  }
  return (
    !endpointInstance.load.isLeaving &&
    endpointInstance.load.isEndpointAlive &&
    !endpointInstance.isListedLeaving
  );
}
