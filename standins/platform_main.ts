/** Program of the platform stand-in. */
import * as platformStandin from './platform_standin';
import * as standinServer from './standin_server';

const standin = new platformStandin.PlatformStandin();
void standin.server
  .listen(standinServer.readArgument('listen', '127.0.0.1:0'))
  .then(address => standinServer.announce(address));
