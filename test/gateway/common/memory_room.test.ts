import * as ava from 'ava';
import * as memoryRoom from '../../../src/gateway/common/memory_room';

const test = ava.default;
const MEGABYTE = 1_000_000;
const MACHINE = {memoryMegabytes: 178, descriptors: 4_100};
const LIMIT = 86 * MEGABYTE;

function heap(totalMegabytes: number, liveShare = 0): memoryRoom.HeapUse {
  return {
    totalBytes: totalMegabytes * MEGABYTE,
    liveBytes: LIMIT * liveShare,
    limitBytes: LIMIT,
  };
}

test('memory room: answers give way to the heap before bodies do, and neither to nothing', t => {
  const at = (megabytes: number) =>
    new memoryRoom.MemoryRoom(MACHINE).update(heap(megabytes), 0);
  const [small, middle, large, full] = [40, 60, 80, 500].map(at);
  t.true(middle.answerBytes < small.answerBytes);
  t.is(middle.bodyBytes, small.bodyBytes);
  t.true(large.answerBytes < middle.answerBytes);
  t.true(large.bodyBytes < middle.bodyBytes);
  t.true(full.answerBytes > 0);
  t.true(full.bodyBytes > 0);
});

test('memory room: a heap that grew for a moment counts for some seconds', t => {
  const room = new memoryRoom.MemoryRoom(MACHINE);
  const {answerBytes} = room.update(heap(40), 0);
  t.true(room.update(heap(70), 200).answerBytes < answerBytes);
  t.true(room.update(heap(40), 400).answerBytes < answerBytes);
  t.true(room.update(heap(40), 5_200).answerBytes < answerBytes);
  t.is(room.update(heap(40), 10_400).answerBytes, answerBytes);
});

test('memory room: requests are refused from a share of live objects on, until they are clearly fewer', t => {
  const room = new memoryRoom.MemoryRoom(MACHINE);
  const isFullAt = (share: number) => {
    room.update(heap(86, share), 0);
    return room.isFull;
  };
  t.deepEqual([0.5, 0.8, 0.9, 0.8, 0.7, 0.8].map(isFullAt), [
    false,
    false,
    true,
    true,
    false,
    false,
  ]);
});

test('memory room: a machine of an ordinary size gives way only to a large heap', t => {
  const machine = {memoryMegabytes: 512, descriptors: 0};
  const room = new memoryRoom.MemoryRoom(machine);
  const {answerBytes} = room.update(heap(40), 0);
  t.is(room.update(heap(200), 0).answerBytes, answerBytes);
  t.true(room.update(heap(400), 0).answerBytes < answerBytes);
});
