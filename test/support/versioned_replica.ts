/** Replicas whose events tell the version of their software. */
import * as replicaStandin from '../../standins/replica_standin';

/** Event with which a stream that starts at its beginning breaks off. */
export const BREAK_AFTER = 5;
/** Last event of a stream. */
export const LAST = 10;

/** Breaks off streams that start at their beginning, and ends those that go on. */
export function breakOnce(version: string): replicaStandin.ReplicaHandler {
  return (request, response) => {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, replicaStandin.answerHeaders(request));
    if (from > 1) {
      response.end(eventsOf(version, from, LAST));
      return;
    }
    response.write(eventsOf(version, 1, BREAK_AFTER), () =>
      response.socket!.resetAndDestroy(),
    );
  };
}

/** Events with the ids `from` to `to`. */
export function eventsOf(version: string, from: number, to: number): string {
  return replicaStandin
    .events(from, to)
    .replaceAll('piece', `${version} piece`);
}

/** Versions of which the text has events. */
export function versionsIn(text: string): string[] {
  return [
    ...new Set([...text.matchAll(/data: (\S+) piece/g)].map(each => each[1])),
  ];
}

/** Number of whole events in the text. */
export function eventCount(text: string): number {
  return [...text.matchAll(/piece \d+\n\n/g)].length;
}
