/** Stand-in of a plain service, which records every run of an action. */
import * as http from 'node:http';
import * as deadline from '../src/base/common/deadline';
import * as httpServer from '../src/base/node/http_server';
import * as standinServer from './standin_server';

/** One run of an action. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string;
  readonly body: string;
}

interface ServiceFault {
  /** Delay before the answer, in milliseconds. */
  readonly delayMilliseconds: number;
  /** Number of answers to drop after their action ran. */
  readonly loseAnswers: number;
}

/** Serves actions over HTTP. */
export class ServiceStandin {
  readonly server = new httpServer.HttpServer();
  readonly runs: ServiceRun[] = [];
  private fault: ServiceFault = {delayMilliseconds: 0, loseAnswers: 0};

  constructor() {
    this.server.mount('/', (request, response) =>
      this.onCall(request, response),
    );
    this.server.mount('/healthz', (_, response) =>
      httpServer.sendJson(response, 200, {}),
    );
    this.server.mount('/runs', (_, response) =>
      httpServer.sendJson(response, 200, {runs: this.runs}),
    );
    this.server.mount('/fault', (request, response) =>
      this.onFault(request, response),
    );
  }

  dispose(): void {
    this.server.dispose();
  }

  private async onCall(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await standinServer.readBodyText(request);
    this.runs.push({
      method: request.method ?? '',
      path: request.url ?? '',
      idempotencyKey: String(request.headers['idempotency-key'] ?? ''),
      body,
    });
    const receipt = this.runs.length;
    await deadline.delay(this.fault.delayMilliseconds);
    if (this.fault.loseAnswers > 0) {
      this.fault = {...this.fault, loseAnswers: this.fault.loseAnswers - 1};
      response.destroy();
      return;
    }
    httpServer.sendJson(response, 201, {receipt, path: request.url});
  }

  private async onFault(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.fault = {
      ...this.fault,
      ...(await standinServer.readBodyJson<Partial<ServiceFault>>(request)),
    };
    httpServer.sendJson(response, 200, {});
  }
}
