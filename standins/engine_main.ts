/** Program of the engine stand-in. */
import * as engineModel from './engine_model';
import * as engineStandin from './engine_standin';
import * as standinServer from './standin_server';

const standin = new engineStandin.EngineStandin({
  parameters: {
    ...engineModel.DEFAULT_PARAMETERS,
    capacityTokens: Number(
      standinServer.readArgument('capacity-tokens', '120000'),
    ),
    maxSequences: Number(standinServer.readArgument('max-sequences', '128')),
  },
  loadLagMilliseconds: Number(standinServer.readArgument('load-lag-ms', '200')),
  cacheEventLoss: Number(standinServer.readArgument('cache-event-loss', '0.2')),
  enforcesFencing: standinServer.readArgument('obeys-fencing', 'yes') === 'yes',
  speed: Number(standinServer.readArgument('speed', '1')),
  crash: () => process.exit(70),
});
void standin.server
  .listen(standinServer.readArgument('listen', '127.0.0.1:0'))
  .then(address => standinServer.announce(address));
