/** Measures bytes and CPU time of links, with real side processes. */
import * as linkClient from '../../src/entry/node/link_client';
import * as peerTransport from '../../src/protocol/node/peer_transport';
import * as fs from 'node:fs';
import * as localDeployment from '../../standins/local_deployment';
import * as processUsage from '../process_usage';
import * as fits from './fit';

const SECONDS = 6;

class ByteCounter extends peerTransport.TrafficCounter {
  bytes = 0;

  sent(_: string, bytes: number): void {
    this.bytes += bytes;
  }

  received(_: string, bytes: number): void {
    this.bytes += bytes;
  }
}

interface LinkCost {
  readonly bytesPerSecond: number;
  readonly entryMicroseconds: number;
  readonly sideMicroseconds: number;
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Holds `count` idle links from this process to one side process, and measures their cost. */
async function holdLinks(
  deployment: localDeployment.LocalDeployment,
  count: number,
): Promise<LinkCost> {
  const counter = new ByteCounter();
  const {side} = deployment.engines[0];
  const token = fs
    .readFileSync(deployment.file('cluster.token'), 'utf8')
    .trim();
  const clients = Array.from(
    {length: count},
    (_, index) =>
      new linkClient.LinkClient({
        entry: `bench-${index}`,
        entryAddress: () => deployment.entries[0].address,
        address: side.address,
        token,
        traffic: counter,
        revision: () => 0,
      }),
  );
  clients.forEach(client => client.connect());
  await pause(1_500);
  const bytesBefore = counter.bytes;
  const cpuBefore = process.cpuUsage();
  const sideBefore = await processUsage.readProcessorSeconds(side.url);
  await pause(SECONDS * 1000);
  const used = process.cpuUsage(cpuBefore);
  const sideUsed =
    (await processUsage.readProcessorSeconds(side.url)) - sideBefore;
  const bytes = counter.bytes - bytesBefore;
  clients.forEach(client => client.dispose());
  await pause(200);
  return {
    bytesPerSecond: bytes / SECONDS,
    entryMicroseconds: (used.user + used.system) / SECONDS,
    sideMicroseconds: (sideUsed * 1e6) / SECONDS,
  };
}

/** Measures the slopes of idle links. */
export async function measure(): Promise<fits.Slope[]> {
  const deployment = new localDeployment.LocalDeployment({
    entries: 1,
    engines: 1,
    services: 0,
  });
  await deployment.start();
  try {
    const sizes = [10, 40, 80, 160];
    const costs: LinkCost[] = [];
    for (const size of sizes) {
      costs.push(await holdLinks(deployment, size));
    }
    return [
      fits.fit(
        'control bytes a second by idle link, both directions',
        'bytes a second',
        sizes,
        costs.map(cost => cost.bytesPerSecond),
      ),
      fits.fit(
        'entry time a second by idle link',
        'microseconds a second',
        sizes,
        costs.map(cost => cost.entryMicroseconds),
      ),
      fits.fit(
        'side process time a second by idle link',
        'microseconds a second',
        sizes,
        costs.map(cost => cost.sideMicroseconds),
      ),
    ];
  } finally {
    await deployment.stop();
  }
}
