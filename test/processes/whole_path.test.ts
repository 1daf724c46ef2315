import * as ava from 'ava';
import * as uuid from 'uuid';
import * as localDeployment from '../../standins/local_deployment';
import * as streamReader from '../../standins/stream_reader';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;
const BEARER = {authorization: `Bearer ${localDeployment.CUSTOMER_TOKEN}`};

test.before(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 2,
    services: 2,
  });
  await t.context.start();
});

test.after.always(t => t.context.stop());

test('a stream has every token once and in order', async t => {
  const reader = await streamReader.StreamReader.run(
    t.context.entries[0].url,
    localDeployment.CUSTOMER_TOKEN,
    {model: localDeployment.MODEL, prompt: 'a [length=40]', max_tokens: 100},
  );
  const run = reader.texts[0].split('-')[0];
  t.deepEqual(
    reader.texts,
    Array.from({length: 40}, (_, index) => `${run}-${index}`),
  );
  t.is(reader.finishReason, 'stop');
  t.true(reader.isDone);
});

test('a complete answer has the text and the finish reason', async t => {
  const answer = await localDeployment.callJson(
    'POST',
    `${t.context.entries[1].url}/v1/completions`,
    {model: localDeployment.MODEL, prompt: 'b [length=30]', max_tokens: 10},
    BEARER,
  );
  t.is(answer.status, 200);
  t.is(answer.headers['rhubarbvane-result'], '0');
  const [choice] = answer.body.choices as {
    text: string;
    finish_reason: string;
  }[];
  t.is(choice.text.trim().split(' ').length, 10);
  t.is(choice.finish_reason, 'length');
});

test('a notice filed through both entries at once runs once and both answers are the same', async t => {
  const key = uuid.v7();
  const answers = await Promise.all(
    t.context.entries.map(entry =>
      localDeployment.callJson(
        'POST',
        `${entry.url}/services/${localDeployment.SERVICE_ROUTE}/setback`,
        {plot: 17},
        {...BEARER, 'idempotency-key': key},
      ),
    ),
  );
  const records = await Promise.all(
    t.context.services.map(service =>
      localDeployment.callJson('GET', `${service.endpoint.url}/runs`),
    ),
  );
  const runs = records
    .flatMap(record => record.body.runs as {idempotencyKey: string}[])
    .filter(run => run.idempotencyKey === key);
  t.is(runs.length, 1);
  t.deepEqual(
    answers.map(answer => answer.status),
    [201, 201],
  );
  t.deepEqual(answers[0].body, answers[1].body);
});
