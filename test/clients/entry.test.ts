/** Many callers of an entry that do not behave. */
import * as fs from 'node:fs';
import * as ava from 'ava';
import * as localDeployment from '../../standins/local_deployment';
import * as callers from '../support/callers';
import * as countingReplica from '../support/counting_replica';
import * as crowd from '../support/crowd';
import * as processUsage from '../support/process_usage';

const test = ava.default;
/** Memory that an entry takes by default, in MB. */
const MEMORY_MEGABYTES = 256;
/** Default of the largest request body, in bytes. */
const MAX_BODY_BYTES = 1_048_576;
const REQUESTS_A_PART = 500;
const TIMEOUT_MILLISECONDS = 60_000;
const BODY = JSON.stringify(callers.generation(2, 'ordinary'));
const SHORT_BODY = Buffer.alloc(MAX_BODY_BYTES - 1, 'b');

function headOf(path: string, lines: readonly string[]): string {
  const authorization = callers.BEARER.authorization;
  return [
    `POST ${path} HTTP/1.1`,
    'Host: a',
    `Authorization: ${authorization}`,
    ...lines,
    '\r\n',
  ].join('\r\n');
}

function unfinishedBody(path: string): Iterable<Buffer> {
  const head = headOf(path, [`Content-Length: ${MAX_BODY_BYTES}`]);
  return [Buffer.from(head), SHORT_BODY];
}

function chunkedBody(path: string): Iterable<Buffer> {
  const head = headOf(path, ['Transfer-Encoding: chunked']);
  const part = Buffer.from('1\r\nc\r\n'.repeat(10_000));
  return [Buffer.from(head), ...Array<Buffer>(100).fill(part)];
}

const COMPLETIONS = '/v1/completions';
const SERVICE = `/services/${localDeployment.SERVICE_ROUTE}/x`;

interface EntryCrowd {
  readonly title: string;
  readonly connections: number;
  readonly parts: () => Iterable<Buffer>;
  readonly reads?: boolean;
}

const CROWDS: readonly EntryCrowd[] = [
  {
    title: 'bodies of generations that are never ended',
    connections: 300,
    parts: () => unfinishedBody(COMPLETIONS),
    reads: true,
  },
  {
    title: 'bodies of service calls that are never ended',
    connections: 300,
    parts: () => unfinishedBody(SERVICE),
    reads: true,
  },
  {
    title: 'bodies in chunks of 1 byte that are never ended',
    connections: 60,
    parts: () => chunkedBody(COMPLETIONS),
    reads: true,
  },
  {
    title: 'requests without a host sent ahead, their answers unread,',
    connections: 150,
    parts: () =>
      crowd.endlessly(
        Buffer.from('GET / HTTP/1.1\r\n\r\n'.repeat(REQUESTS_A_PART)),
      ),
  },
  {
    title: 'requests with a key sent ahead, their answers unread,',
    connections: 150,
    parts: () =>
      crowd.endlessly(
        Buffer.from(
          headOf(SERVICE, ['Content-Length: 0']).repeat(REQUESTS_A_PART),
        ),
      ),
  },
];

for (const {title, connections, parts, reads} of CROWDS) {
  test.serial(
    `clients: ${title} leave an entry alive and within its memory`,
    async t => {
      const deployment = new localDeployment.LocalDeployment({
        entries: 1,
        engines: 1,
        services: 1,
      });
      t.teardown(() => deployment.stop());
      await deployment.start();
      const [entry] = deployment.entries;
      const port = Number(entry.address.split(':')[1]);
      const call = () =>
        countingReplica.request(
          port,
          COMPLETIONS,
          {...callers.BEARER, 'Content-Type': 'application/json'},
          BODY,
          TIMEOUT_MILLISECONDS,
        );
      const usage = new processUsage.UsageSampler(entry.pid, {
        local: [port],
        remote: [],
      });
      t.teardown(() => usage.stop());
      const sending = new crowd.Crowd({
        port,
        connections,
        send: () => ({parts: parts()}),
        returns: true,
        reads,
      });
      t.log(await sending.run(call));
      usage.stop();
      t.log(usage.describe());
      t.true(fs.existsSync(`/proc/${entry.pid}`), 'the process lives');
      t.is((await call())?.status, 200);
      t.true(
        usage.mostBytes <= MEMORY_MEGABYTES * 1_000_000,
        `memory: ${usage.describe()}`,
      );
    },
  );
}
