/** Commands that send requests as a caller. */
import * as http from 'node:http';
import * as clipanion from 'clipanion';
import * as eventsourceParser from 'eventsource-parser';
import * as uuid from 'uuid';
import * as failure from '../base/common/failure';
import * as resultCode from '../base/common/result_code';
import * as httpClient from '../base/node/http_client';
import * as refusal from '../base/node/refusal';
import * as toolCommand from './tool_command';

const CALL_TIMEOUT_MILLISECONDS = 600_000;

function resultCodeOf(response: http.IncomingMessage): resultCode.ResultCode {
  return Number(
    response.headers['rhubarbvane-result'] ?? resultCode.ResultCode.Failed,
  );
}

function parseFailure(body: string): toolCommand.CommandFailure {
  const parsed = JSON.parse(body) as refusal.FailureBody;
  const {
    code,
    message,
    work,
    retry_after_seconds: retryAfterSeconds,
  } = parsed.error;
  const cause: failure.Failure = {
    code,
    message,
    workState: work,
    retryAfterSeconds,
  };
  return new toolCommand.CommandFailure(cause);
}

async function readText(response: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a generation request. */
export class CompleteCommand extends toolCommand.ToolCommand {
  static override paths = [['complete']];
  static override usage = clipanion.Command.Usage({
    description: 'Send a generation request',
    details: 'The token file must hold the token of a customer.',
    examples: [
      [
        'Stream a draft',
        'rhubarbvane complete --model report-writer --stream "Beach profile at Galle"',
      ],
    ],
  });

  prompt = clipanion.Option.String();
  model = clipanion.Option.String('--model', {
    required: true,
    description: 'Served model',
  });
  maxTokens = clipanion.Option.String('--max-tokens', '256', {
    description: 'Maximum number of output tokens',
  });
  stream = clipanion.Option.Boolean('--stream', false, {
    description: 'Print tokens as they arrive',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const request = {
      model: this.model,
      prompt: this.prompt,
      max_tokens: Number(this.maxTokens),
      stream: this.stream,
    };
    const response = await httpClient.openHttp({
      method: 'POST',
      url: `${this.entryUrl}/v1/completions`,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${this.token}`,
      },
      body: JSON.stringify(request),
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    const code = resultCodeOf(response);
    if (code !== resultCode.ResultCode.Ok) {
      throw parseFailure(await readText(response));
    }
    return this.stream
      ? this.printStream(response)
      : this.printCompletion(await readText(response));
  }

  private printCompletion(body: string): resultCode.ResultCode {
    const answer = JSON.parse(body) as {choices: [{text: string}]};
    this.print(answer, [answer.choices[0].text]);
    return resultCode.ResultCode.Ok;
  }

  private async printStream(
    response: http.IncomingMessage,
  ): Promise<resultCode.ResultCode> {
    let isComplete = false;
    let streamFailure: toolCommand.CommandFailure | undefined;
    const parser = eventsourceParser.createParser({
      onEvent: event => {
        if (event.event === 'error') {
          streamFailure = parseFailure(event.data);
          return;
        }
        if (event.data === '[DONE]') {
          isComplete = true;
          return;
        }
        const chunk = JSON.parse(event.data) as {choices: [{text: string}]};
        const isJson = this.output === toolCommand.OutputFormat.Json;
        this.context.stdout.write(
          isJson ? `${event.data}\n` : chunk.choices[0].text,
        );
      },
    });
    response.setEncoding('utf8');
    for await (const chunk of response) {
      parser.feed(chunk as string);
    }
    if (streamFailure !== undefined) {
      throw streamFailure;
    }
    if (!isComplete) {
      const message = 'the stream ended before it was complete';
      throw new toolCommand.CommandFailure(
        failure.ran(resultCode.ResultCode.Interrupted, message),
      );
    }
    this.context.stdout.write('\n');
    return resultCode.ResultCode.Ok;
  }
}

/** Calls a plain service. */
export class CallCommand extends toolCommand.ToolCommand {
  static override paths = [['call']];
  static override usage = clipanion.Command.Usage({
    description: 'Call a plain service',
    details:
      'The token file must hold the token of a customer. Without --key an idempotency key is generated; the key in use is printed.',
    examples: [
      [
        'File a notice',
        'rhubarbvane call notices /setback --data \'{"plot":17}\'',
      ],
      [
        'Look up a transect',
        'rhubarbvane call transects /galle/3 --method GET',
      ],
    ],
  });

  route = clipanion.Option.String();
  resource = clipanion.Option.String();
  method = clipanion.Option.String('--method', 'POST', {
    description: 'HTTP method',
  });
  data = clipanion.Option.String('--data', '', {description: 'Request body'});
  key = clipanion.Option.String('--key', '', {
    description: 'Idempotency key (UUID version 7)',
  });

  protected async run(): Promise<resultCode.ResultCode> {
    const key = this.key || uuid.v7();
    this.printProgress(`idempotency key ${key}`);
    const answer = await httpClient.callHttp({
      method: this.method,
      url: `${this.entryUrl}/services/${this.route}${this.resource}`,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(this.data),
        'idempotency-key': key,
        authorization: `Bearer ${this.token}`,
      },
      body: this.data,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    const text = answer.body.toString('utf8');
    if (
      Number(answer.headers['rhubarbvane-result']) !== resultCode.ResultCode.Ok
    ) {
      throw parseFailure(text);
    }
    this.print({key, status: answer.status, body: text}, [text]);
    return answer.status < 400
      ? resultCode.ResultCode.Ok
      : resultCode.ResultCode.EndpointError;
  }
}
