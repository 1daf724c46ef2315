/** Endpoint instances as an entry knows them. */
import * as linkMessages from '../../protocol/common/link_messages';

/** Whether work can be handed to an instance. */
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
  /** Output tokens expected of work handed over since the last load report. */
  dispatchedTokens: number;
  /** Whether the platform lists the instance as leaving. */
  isListedLeaving: boolean;
}

/** Holds the endpoint instances that the entry has links to. */
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

  put(row: EndpointInstance): void {
    this.instances.set(row.instance, row);
  }

  remove(instance: string): void {
    this.instances.delete(instance);
  }

  /** Notes a load report; work handed over before it is contained in it. */
  updateLoad(
    row: EndpointInstance,
    load: linkMessages.LoadReport,
    now: number,
  ): void {
    row.load = load;
    row.loadAt = now;
    row.dispatchedTokens = 0;
  }
}

/** Whether the instance takes new work, by its own word before the platform's. */
export function acceptsWork(row: EndpointInstance): boolean {
  if (row.state !== LinkState.Up || row.load === undefined) {
    return false;
  }
  return (
    !row.load.isLeaving && row.load.isEndpointAlive && !row.isListedLeaving
  );
}
