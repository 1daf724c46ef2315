import * as ava from 'ava';
import * as deliveryBuffers from '../../../src/gateway/common/delivery_buffers';
import * as machineShares from '../../../src/gateway/common/machine_shares';
import * as deployedProgram from '../../support/deployed_program';

const test = ava.default;
const MEGABYTE = 1_000_000;
/** Smallest machine of the deployments. */
const SMALLEST = {memoryMegabytes: 178, descriptors: 4_100};
/** Descriptors that a machine keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Code and runtime of a deployed gateway, resident without its heap, in bytes. */
const CODE_BYTES = 53.2 * MEGABYTE;

function flag(name: string): number {
  const text = deployedProgram
    .deployedFlags()
    .find(each => each.startsWith(`--${name}=`))!;
  return Number(text.split('=')[1]);
}

test('machine shares: all parts of the memory fit the smallest machine, with the heap that deployments allow', t => {
  const shares = machineShares.divide(SMALLEST);
  const buffers = new deliveryBuffers.DeliveryBuffers(SMALLEST.memoryMegabytes);
  const servers = [
    shares.callerServer,
    shares.peerServer,
    shares.observabilityServer,
    shares.observabilityServer,
  ];
  const heap = flag('max-old-space-size') + 3 * flag('max-semi-space-size');
  const sum =
    CODE_BYTES +
    heap * MEGABYTE +
    buffers.maxTotalBytes +
    2 * shares.bodyBytes +
    servers.reduce((all, each) => all + each.maxBytes + each.maxKernelBytes, 0);
  t.true(sum <= SMALLEST.memoryMegabytes * MEGABYTE, `${sum}`);
});

test('machine shares: connections of all kinds fit the descriptors that are left for sockets', t => {
  for (const descriptors of [600, 2_212, 4_100, 10_250]) {
    const shares = machineShares.divide({...SMALLEST, descriptors});
    const sum =
      shares.callerServer.maxConnections +
      shares.peerServer.maxConnections +
      2 * shares.observabilityServer.maxConnections +
      shares.instanceConnections +
      shares.idleInstanceConnections;
    t.true(sum < descriptors - FILE_DESCRIPTORS, `${sum} of ${descriptors}`);
  }
});

test('machine shares: a body of the largest size of the deployments finds room beside another one', t => {
  const {bodyBytes} = machineShares.divide(SMALLEST);
  t.true(bodyBytes >= 2 * 4 * 1024 * 1024);
});
