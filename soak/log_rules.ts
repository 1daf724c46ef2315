/** Finds lines of gateways that no behaviour of the soak's callers and peers explains. */

/** Finds acts against clients that make a gateway hold too much: all clients of the soak behave. */
export function findClientLimits(log: string): string[] {
  return log
    .split('\n')
    .filter(line => line.includes('"msg":"client-limit"'))
    .map(line => {
      const {gateway, limit, count} = JSON.parse(line) as Record<
        string,
        string | number
      >;
      return `${gateway} acted on limit "${limit}" ${count} times`;
    });
}
