import * as ava from 'ava';
import * as resultCode from '../../src/base/common/result_code';
import * as localDeployment from '../../standins/local_deployment';
import * as tcpRelay from '../../standins/tcp_relay';
import * as callers from '../support/callers';

const test = ava.default as ava.TestFn<localDeployment.LocalDeployment>;
const LENGTH = 120;

test.beforeEach(async t => {
  t.context = new localDeployment.LocalDeployment({
    entries: 2,
    engines: 2,
    services: 0,
    sideSettings: 'idle_milliseconds = 400',
  });
  await t.context.start();
});

test.afterEach.always(t => t.context.stop());

/** Returns the engine that runs the only generation, with its side process. */
async function busyEngine(deployment: localDeployment.LocalDeployment) {
  for (const pair of deployment.engines) {
    const runs = await callers.runsOf(pair.endpoint.url);
    if (runs.some(run => !run.finished && !run.cancelled)) {
      return pair;
    }
  }
  throw new Error('no engine has an unfinished run');
}

for (const tokens of [1, 40, LENGTH - 1]) {
  test(`the rest of a stream comes through another entry when its entry is killed after ${tokens} tokens`, async t => {
    const [first, second] = t.context.entries;
    const {reader, ended} = await callers.openStream(
      first.url,
      callers.generation(LENGTH, 'kill entry'),
    );
    await callers.untilReceived(reader, tokens);
    await first.kill();
    await ended;
    const rest = await callers.openStream(
      second.url,
      callers.generation(LENGTH, 'kill entry'),
      reader.lastEventId,
    );
    await rest.ended;
    t.true(rest.reader.isDone, rest.reader.body);
    t.true(callers.isOneRun([...reader.texts, ...rest.reader.texts], LENGTH));
  });
}

for (const received of [LENGTH - 1, LENGTH]) {
  test(`a caller that read ${received} tokens of a stream sent to its end receives the rest through another entry`, async t => {
    const [first, second] = t.context.entries;
    const request = callers.generation(LENGTH, 'lost end');
    const {reader, ended} = await callers.openStream(first.url, request);
    await ended;
    t.true(reader.isDone);
    const rest = await callers.openStream(
      second.url,
      request,
      reader.eventIds[received - 1],
    );
    await rest.ended;
    t.true(rest.reader.isDone, rest.reader.body);
    t.true(
      callers.isOneRun(
        [...reader.texts.slice(0, received), ...rest.reader.texts],
        LENGTH,
      ),
    );
  });
}

test('a caller that reconnects to the same entry receives every token once and in order', async t => {
  const url = t.context.entries[0].url;
  const request = callers.generation(LENGTH, 'come back');
  const texts: string[] = [];
  let lastEventId = '';
  let isDone = false;
  for (let round = 1; !isDone; round++) {
    const {reader, ended} = await callers.openStream(url, request, lastEventId);
    await Promise.race([callers.untilReceived(reader, 10 * round), ended]);
    reader.disconnect();
    await ended;
    texts.push(...reader.texts);
    lastEventId = reader.lastEventId || lastEventId;
    isDone = reader.isDone || reader.finishReason !== '';
  }
  t.true(callers.isOneRun(texts, LENGTH));
});

test('another customer cannot resume a stream, and its own caller receives every token', async t => {
  const [entry] = t.context.entries;
  const {reader, ended} = await callers.openStream(
    entry.url,
    callers.generation(LENGTH, 'foreign'),
  );
  await callers.untilReceived(reader, 5);
  const foreign = await callers.openStream(
    entry.url,
    callers.generation(LENGTH, 'foreign'),
    reader.lastEventId,
    localDeployment.OTHER_CUSTOMER_TOKEN,
  );
  await foreign.ended;
  t.is(foreign.reader.resultCode, resultCode.ResultCode.Interrupted);
  t.deepEqual(foreign.reader.texts, []);
  await ended;
  t.true(callers.isOneRun(reader.texts, LENGTH));
});

test('a stream is interrupted with an error when its side process is killed, and its tokens are of one run and in order', async t => {
  const {reader, ended} = await callers.openStream(
    t.context.entries[0].url,
    callers.generation(LENGTH, 'kill side'),
  );
  await callers.untilReceived(reader, 30);
  await (await busyEngine(t.context)).side.kill();
  await ended;
  t.is(reader.errorCode, resultCode.ResultCode.Interrupted);
  t.false(reader.isDone);
  t.true(callers.isOneRun(reader.texts, reader.texts.length));
});

test('a complete answer has all tokens of a single run although an engine was killed during the request', async t => {
  const pending = callers.complete(
    t.context.entries[0].url,
    callers.generation(LENGTH, 'kill engine'),
  );
  await callers.until(async () => {
    const records = await Promise.all(
      t.context.engines.map(pair => callers.runsOf(pair.endpoint.url)),
    );
    return records.flat().some(run => Number(run.generated) > 20);
  });
  await (await busyEngine(t.context)).endpoint.kill();
  const answer = await pending;
  t.is(answer.status, 200);
  const [choice] = answer.body.choices as {text: string}[];
  const texts = choice.text.split(/(?= )/);
  t.true(callers.isOneRun(texts, LENGTH));
});

test('a stream has every token once and in order although its side process was suspended', async t => {
  const {reader, ended} = await callers.openStream(
    t.context.entries[0].url,
    callers.generation(400, 'freeze side'),
  );
  await callers.untilReceived(reader, 20);
  const {side} = await busyEngine(t.context);
  side.signal('SIGSTOP');
  setTimeout(() => side.signal('SIGCONT'), 4_500);
  await ended;
  t.true(reader.isDone);
  t.true(callers.isOneRun(reader.texts, 400));
});

test('the rest of a stream comes through another entry when its entry is killed while the side process is suspended', async t => {
  const [first, second] = t.context.entries;
  const {reader, ended} = await callers.openStream(
    first.url,
    callers.generation(400, 'two faults'),
  );
  await callers.untilReceived(reader, 30);
  const {side} = await busyEngine(t.context);
  side.signal('SIGSTOP');
  await first.kill();
  await ended;
  setTimeout(() => side.signal('SIGCONT'), 2_000);
  const rest = await callers.openStream(
    second.url,
    callers.generation(400, 'two faults'),
    reader.lastEventId,
  );
  await rest.ended;
  t.true(rest.reader.isDone, `error ${rest.reader.errorCode}`);
  t.true(callers.isOneRun([...reader.texts, ...rest.reader.texts], 400));
});

test('a stream has every token once and in order although the engine stopped sending on its connection', async t => {
  const {reader, ended} = await callers.openStream(
    t.context.entries[0].url,
    callers.generation(LENGTH, 'silent engine'),
  );
  await callers.untilReceived(reader, 20);
  const pair = await busyEngine(t.context);
  await localDeployment.callJson('POST', `${pair.endpoint.url}/fault`, {
    silence: true,
  });
  await ended;
  t.true(reader.isDone);
  t.true(callers.isOneRun(reader.texts, LENGTH));
});

for (const mode of [
  tcpRelay.RelayMode.SilenceOpen,
  tcpRelay.RelayMode.Cut,
] as const) {
  test(`a stream has every token once and in order although the relay of its link was set to ${mode}`, async t => {
    const [pair, other] = t.context.engines;
    const relay = new tcpRelay.TcpRelay(
      Number(pair.side.address.split(':')[1]),
    );
    const endpoint = 'report-engines';
    await t.context.unregister(other.side.name);
    await t.context.register(
      pair.side.name,
      'side',
      await relay.listen(),
      endpoint,
    );
    const [entry] = t.context.entries;
    await callers.until(async () => {
      const status = await t.context.runTool(['status']);
      return !status.output.includes(other.side.name);
    });
    const {reader, ended} = await callers.openStream(
      entry.url,
      callers.generation(400, mode),
    );
    t.is(reader.status, 200, reader.body);
    await callers.untilReceived(reader, 30);
    relay.setMode(mode);
    if (mode === tcpRelay.RelayMode.Cut) {
      setTimeout(() => relay.setMode(tcpRelay.RelayMode.Pass), 300);
    }
    await ended;
    relay.dispose();
    t.true(reader.isDone, `error ${reader.errorCode}`);
    t.true(callers.isOneRun(reader.texts, 400));
  });
}
