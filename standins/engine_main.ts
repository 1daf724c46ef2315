/** Program of the engine stand-in. */
import * as engineModel from './engine_model';
import * as engineStandin from './engine_standin';
import * as standinServer from './standin_server';

const standin = new engineStandin.EngineStandin({
  shape: {
    ...engineModel.DEFAULT_SHAPE,
    capacityTokens: Number(standinServer.argument('capacity-tokens', '120000')),
    maxSequences: Number(standinServer.argument('max-sequences', '128')),
  },
  loadLagMilliseconds: Number(standinServer.argument('load-lag-ms', '200')),
  cacheEventLoss: Number(standinServer.argument('cache-event-loss', '0.2')),
  obeysFencing: standinServer.argument('obeys-fencing', 'yes') === 'yes',
  speed: Number(standinServer.argument('speed', '1')),
  crash: () => process.exit(70),
});
void standin.server
  .listen(standinServer.argument('listen', '127.0.0.1:0'))
  .then(address => standinServer.announce(address));
