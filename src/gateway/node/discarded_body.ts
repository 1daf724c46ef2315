/** Reads the body of an answer that nobody needs, so that its connection can be used again. */
import * as instanceClient from '../common/instance_client';

/** Maximum size of a body that is read for the sake of its connection, in bytes. */
const MAX_DISCARDED_BYTES = 65_536;
/** Time within which such a body has to end, in milliseconds. */
const MAX_DISCARD_MILLISECONDS = 1_000;

/** Reads the body to its end; closes the connection if the body is too long or does not end. */
export function discard(
  body: instanceClient.ResponseBody,
  exchange: instanceClient.Exchange,
): void {
  let length = 0;
  const timer = setTimeout(() => exchange.cancel(), MAX_DISCARD_MILLISECONDS);
  const stop = () => clearTimeout(timer);
  body.listen({
    onData: chunk => {
      length += chunk.length;
      if (length > MAX_DISCARDED_BYTES) {
        exchange.cancel();
      }
    },
    onDidEnd: stop,
    onDidFail: stop,
  });
}
