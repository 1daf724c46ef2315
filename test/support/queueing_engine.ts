/** An engine with slots and a queue, which answers that it does not run what it has no place for. */
import * as http from 'node:http';
import * as platformObjects from '../../standins/platform_objects';
import * as replicaStandin from '../../standins/replica_standin';

/** Sizes of a queueing engine. */
export interface QueueingEngineOptions {
  readonly slots: number;
  /** Time for which a generation holds a slot, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Generations that wait inside the engine at most. */
  readonly queueLength: number;
  /** Slots that the engine registers. */
  readonly registeredSlots: number;
  /** Whether the first event is sent when the generation gets its slot; otherwise all come at the end. */
  readonly startsAtOnce: boolean;
}

/** Runs generations in the order of arrival. */
export class QueueingEngine extends replicaStandin.ReplicaStandin {
  /** Number of generations that were turned away. */
  turnedAway = 0;
  private running = 0;
  private readonly queue: (() => void)[] = [];

  constructor(
    id: string,
    private readonly options: QueueingEngineOptions,
  ) {
    super(id, (request, response) => this.accept(request, response));
  }

  /** The registration of the engine at the address. */
  registration(service: string, address: string): object {
    return {
      ...platformObjects.registrationSpec(service, address),
      slots: this.options.registeredSlots,
    };
  }

  private accept(
    request: replicaStandin.ReceivedRequest,
    response: http.ServerResponse,
  ): void {
    const {slots, queueLength} = this.options;
    if (this.running < slots) {
      return this.run(request, response);
    }
    if (this.queue.length >= queueLength) {
      this.turnedAway++;
      return replicaStandin.shed(request, response);
    }
    this.queue.push(() => this.run(request, response));
  }

  private run(
    request: replicaStandin.ReceivedRequest,
    response: http.ServerResponse,
  ): void {
    if (response.destroyed) {
      return this.startNext();
    }
    this.running++;
    response.writeHead(200, replicaStandin.answerHeaders(request));
    const {startsAtOnce, serviceMilliseconds} = this.options;
    if (startsAtOnce) {
      response.write(replicaStandin.events(1, 1));
    }
    setTimeout(() => {
      this.running--;
      response.end(replicaStandin.events(startsAtOnce ? 2 : 1, 2));
      this.startNext();
    }, serviceMilliseconds);
  }

  private startNext(): void {
    this.queue.shift()?.();
  }
}
