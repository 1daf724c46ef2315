/** Serves readiness to the load balancer, and metrics to operators. */
import * as http from 'node:http';
import * as disposable from '../../base/common/disposable';
import * as boundedServer from '../../base/node/bounded_server';
import * as jsonLog from '../../base/node/json_log';
import * as metrics from '../../base/node/metrics';

/** Paths that report whether the process accepts connections. */
const READY_PATHS = ['/readyz', '/healthz'];

/** Listens on the readiness and the metrics address. */
export class ObservabilityServer implements disposable.Disposable {
  private readonly servers: boundedServer.BoundedServer[] = [];

  constructor(
    private readonly isReady: () => boolean,
    private readonly registry: metrics.MetricsRegistry,
    private readonly options: boundedServer.BoundedServerOptions,
    private readonly log: jsonLog.JsonLog,
  ) {}

  /** Serves on the address; a failure is only logged, since requests can be served without it. */
  listen(host: string, port: number): void {
    const server = new boundedServer.BoundedServer(
      this.options,
      (request, response) => void this.answer(request, response),
    );
    server.listen(host, port, error =>
      this.log.write('observability-failed', {error: error.message}, true),
    );
    this.servers.push(server);
  }

  dispose(): void {
    this.servers.forEach(server => server.dispose());
  }

  private async answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? '').split('?', 1)[0];
    if (READY_PATHS.includes(path)) {
      response.writeHead(this.isReady() ? 200 : 503, {'Content-Length': 0});
      response.end();
      return;
    }
    if (path === '/metrics') {
      const text = await this.registry.render();
      response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
      response.end(text);
      return;
    }
    response.writeHead(404, {'Content-Length': 0}).end();
  }
}
