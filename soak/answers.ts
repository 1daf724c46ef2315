/** Answers of replicas, and checks of what their callers received. */

/** An answer as its caller received it. */
export interface ReceivedAnswer {
  /** 0 when no answer began. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer looked complete. */
  readonly isComplete: boolean;
  /** Stamp that proves that a replica answered; undefined on answers of a gateway. */
  readonly stamp: string | undefined;
}

/** A stream that its caller resumes in another request. */
export interface ResumedStream {
  /** Attempt that brought the first event. */
  readonly attempt: string;
  readonly version: string;
  /** Pieces that the caller has. */
  readonly pieces: number;
}

/** Body of a complete plain answer. */
export function plainBody(attempt: string, replica: string): string {
  return `${attempt} served by ${replica}`;
}

/** One piece of a stream, which tells the software version of its replica. */
export function pieceEvent(
  attempt: string,
  index: number,
  version = 'v1',
): string {
  return `id: ${index}\ndata: ${attempt} ${version} piece ${index}\n\n`;
}

/** Last event of a complete stream. */
export function endEvent(
  attempt: string,
  pieces: number,
  version = 'v1',
): string {
  return `id: ${pieces + 1}\ndata: ${attempt} ${version} end\n\n`;
}

/** Version that the first event of a stream tells; undefined without an event. */
export function versionOf(body: string): string | undefined {
  return /^id: \d+\ndata: \S+ (\S+) (?:piece|end)/.exec(body)?.[1];
}

/** Number of whole pieces in the body of a stream. */
export function pieceCount(body: string): number {
  return [...body.matchAll(/ piece \d+\n\n/g)].length;
}

/** What is wrong with a plain answer; undefined if nothing is. */
export function checkPlain(
  attempt: string,
  {body, isComplete, stamp}: ReceivedAnswer,
  replicas: readonly string[],
): string | undefined {
  if (!isComplete) {
    return undefined;
  }
  const isFromRun = replicas.some(
    replica => replica === stamp && body === plainBody(attempt, replica),
  );
  return isFromRun ? undefined : `body "${body}" with stamp ${stamp}`;
}

/** What is wrong with the answer of a stream; undefined if nothing is. */
export function checkStream(
  attempt: string,
  {body, isComplete}: ReceivedAnswer,
  resumed: ResumedStream | undefined,
): string | undefined {
  const version = versionOf(body) ?? resumed?.version;
  if (resumed !== undefined && version !== resumed.version) {
    return `begun at ${resumed.version} as ${resumed.attempt}, goes on at ${version}`;
  }
  let expected = '';
  let pieces = resumed?.pieces ?? 0;
  while (body.startsWith(expected + pieceEvent(attempt, pieces + 1, version))) {
    expected += pieceEvent(attempt, ++pieces, version);
  }
  const rest = body.slice(expected.length);
  if (rest === endEvent(attempt, pieces, version)) {
    return undefined;
  }
  // A truncated answer may end within a piece or within the last event.
  const isTruncated =
    pieceEvent(attempt, pieces + 1, version).startsWith(rest) ||
    endEvent(attempt, pieces, version).startsWith(rest);
  if (!isComplete && isTruncated) {
    return undefined;
  }
  return `after piece ${pieces}: "${rest.slice(0, 80)}", complete ${isComplete}`;
}
