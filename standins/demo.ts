/** Runs a deployment on this machine, sends example requests and prints their results. */
import * as uuid from 'uuid';
import * as localDeployment from './local_deployment';
import * as streamReader from './stream_reader';

const PROMPT = 'Beach profile report for transect 12 at Galle. [length=24]';
const COMPLETION = {
  model: localDeployment.MODEL,
  prompt: PROMPT,
  max_tokens: 64,
};

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function check(condition: boolean, message: string): void {
  if (!condition) {
    throw new Error(`the demo failed: ${message}`);
  }
}

async function streamOne(
  deployment: localDeployment.LocalDeployment,
): Promise<string> {
  const reader = await streamReader.StreamReader.run(
    deployment.entries[0].url,
    localDeployment.CUSTOMER_TOKEN,
    COMPLETION,
  );
  check(
    reader.isDone && reader.texts.length === 24,
    `expected 24 tokens, got ${reader.texts.length}`,
  );
  print(
    `streamed ${reader.texts.length} tokens through ${deployment.entries[0].name}, finish reason ${reader.finishReason}`,
  );
  return reader.trace;
}

async function completeOne(
  deployment: localDeployment.LocalDeployment,
): Promise<void> {
  const answer = await localDeployment.callJson(
    'POST',
    `${deployment.entries[1].url}/v1/completions`,
    COMPLETION,
    {
      authorization: `Bearer ${localDeployment.CUSTOMER_TOKEN}`,
    },
  );
  check(answer.status === 200, `status ${answer.status}`);
  print(
    `whole answer through ${deployment.entries[1].name}: ${JSON.stringify(answer.body.usage)}`,
  );
}

async function fileNoticeTwice(
  deployment: localDeployment.LocalDeployment,
): Promise<void> {
  const key = uuid.v7();
  const headers = {
    authorization: `Bearer ${localDeployment.CUSTOMER_TOKEN}`,
    'idempotency-key': key,
  };
  const answers = await Promise.all(
    deployment.entries.map(entry =>
      localDeployment.callJson(
        'POST',
        `${entry.url}/services/${localDeployment.SERVICE_ROUTE}/setback`,
        {plot: 17},
        headers,
      ),
    ),
  );
  let runs = 0;
  for (const service of deployment.services) {
    const record = await localDeployment.callJson(
      'GET',
      `${service.endpoint.url}/runs`,
    );
    runs += (record.body.runs as {idempotencyKey: string}[]).filter(
      run => run.idempotencyKey === key,
    ).length;
  }
  check(runs === 1, `the notice ran ${runs} times`);
  const statuses = answers.map(answer => answer.status).join(' and ');
  print(
    `filed one notice with one idempotency key through both entries at once: statuses ${statuses}, it ran ${runs} time`,
  );
}

async function showTrace(
  deployment: localDeployment.LocalDeployment,
  trace: string,
): Promise<void> {
  const shown = await deployment.runTool(['status', '--trace', trace]);
  const names = [
    'entry.admission',
    'entry.placement',
    'entry.handoff',
    'side.admission',
    'side.endpoint_call',
  ];
  names.forEach(name =>
    check(
      shown.output.includes(name),
      `the trace has no span ${name}: ${shown.output} ${shown.errors}`,
    ),
  );
  print(`trace ${trace}:\n${shown.output.trimEnd()}`);
}

async function main(): Promise<void> {
  const shouldStay = process.argv.includes('--stay');
  const deployment = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 3,
    services: 2,
  });
  try {
    await deployment.start();
    if (shouldStay) {
      print(JSON.stringify(deployment.describe()));
      await new Promise<void>(resolve => {
        process.once('SIGINT', () => resolve());
        process.once('SIGTERM', () => resolve());
      });
      return;
    }
    print(
      'started 1 platform, 2 entries, 3 engines and 2 plain services, each endpoint with its side process',
    );
    const trace = await streamOne(deployment);
    await completeOne(deployment);
    await fileNoticeTwice(deployment);
    await showTrace(deployment, trace);
    const status = await deployment.runTool(['status']);
    print(status.output.trimEnd());
  } finally {
    await deployment.stop();
  }
  print('everything that was started has ended');
}

main().then(
  () => process.exit(0),
  error => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
