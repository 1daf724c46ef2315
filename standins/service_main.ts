/** Program of the plain service stand-in. */
import * as serviceStandin from './service_standin';
import * as standinServer from './standin_server';

const standin = new serviceStandin.ServiceStandin();
void standin.server
  .listen(standinServer.readArgument('listen', '127.0.0.1:0'))
  .then(address => standinServer.announce(address));
