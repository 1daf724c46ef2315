import * as ava from 'ava';
import * as deliveryBuffers from '../../../src/gateway/common/delivery_buffers';
import * as machineShares from '../../../src/gateway/common/machine_shares';
import * as memoryRoom from '../../../src/gateway/common/memory_room';
import * as deployedProgram from '../../../standins/deployed_program';

const test = ava.default;
const MEGABYTE = 1_000_000;
/** Unit of the flags of Node.js, in bytes. */
const MEBIBYTE = 1_048_576;
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

/** Sum of all parts while the heap has a size. */
function sumWith(heapBytes: number, room: memoryRoom.CallerRoom): number {
  const shares = machineShares.divide(SMALLEST);
  const servers = [
    shares.callerServer,
    shares.peerServer,
    shares.observabilityServer,
    shares.observabilityServer,
  ];
  return (
    CODE_BYTES +
    heapBytes +
    room.answerBytes +
    2 * room.bodyBytes +
    servers.reduce((all, each) => all + each.maxBytes + each.maxKernelBytes, 0)
  );
}

test('machine shares: all parts of the memory fit the smallest machine, whatever heap deployments allow', t => {
  const limitBytes =
    (flag('max-old-space-size') + 3 * flag('max-semi-space-size')) * MEBIBYTE;
  for (let part = 0; part <= 100; part++) {
    const totalBytes = (limitBytes * part) / 100;
    const room = new memoryRoom.MemoryRoom(SMALLEST).update(
      {totalBytes, liveBytes: totalBytes, limitBytes},
      0,
    );
    const sum = sumWith(totalBytes, room);
    t.true(sum <= SMALLEST.memoryMegabytes * MEGABYTE, `${part}%: ${sum}`);
  }
});

test('machine shares: a usual heap leaves answers and bodies their whole shares', t => {
  const totalBytes = 46 * MEGABYTE;
  const heap = {totalBytes, liveBytes: 0, limitBytes: 2 * totalBytes};
  const room = new memoryRoom.MemoryRoom(SMALLEST).update(heap, 0);
  const buffers = new deliveryBuffers.DeliveryBuffers(SMALLEST.memoryMegabytes);
  t.is(room.answerBytes, buffers.maxTotalBytes);
  t.is(room.bodyBytes, machineShares.divide(SMALLEST).bodyBytes);
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
