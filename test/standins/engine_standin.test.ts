import * as http from 'node:http';
import * as ava from 'ava';
import * as engineModel from '../../standins/engine_model';
import * as engineStandin from '../../standins/engine_standin';

const test = ava.default;

/** Factor at which all tokens of a short run are produced in a single turn of the event loop. */
const SINGLE_TURN_SPEED = 10_000;

test('an engine that crashes after three tokens has handed all three to the connection', async t => {
  const standin: engineStandin.EngineStandin = new engineStandin.EngineStandin({
    parameters: engineModel.DEFAULT_PARAMETERS,
    loadLagMilliseconds: 0,
    cacheEventLoss: 0,
    enforcesFencing: true,
    speed: SINGLE_TURN_SPEED,
    // Like the end of the process: bytes not yet handed to the connection are lost.
    crash: () => standin.dispose(),
  });
  t.teardown(() => standin.dispose());
  const address = await standin.server.listen('127.0.0.1:0');
  const text = await readUntilClosed(`http://${address}/v1/completions`, {
    model: 'report-writer',
    prompt: 'poison [length=50] [crash=3]',
    max_tokens: 50,
    stream: true,
  });
  t.deepEqual(text.match(/^id: \d+$/gm), ['id: 0', 'id: 1', 'id: 2']);
});

/** Posts the body and returns what arrived when the connection ended. */
function readUntilClosed(url: string, body: object): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    const request = http.request(url, {method: 'POST'}, response => {
      response.on('data', chunk => (text += String(chunk)));
      response.once('error', () => resolve(text));
      response.once('close', () => resolve(text));
    });
    request.once('error', () => resolve(text));
    request.end(JSON.stringify(body));
  });
}
