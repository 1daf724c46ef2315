/**
 * Account of the bytes that a gateway holds for callers who read more slowly
 * than instances answer. Meant for many such callers at the same time, on
 * gateways with little memory: what is held for each answer and in sum is
 * bounded, whatever the number of callers.
 */

/** Share of the machine's memory that may be held; the heap of the process and the buffers of the kernel need the rest. */
export const TOTAL_SHARE = 0.2;
/** Share of the total that may be held for one answer, before its instance is read more slowly. */
const ANSWER_SHARE = 1 / 8;
const BYTES_PER_MEGABYTE = 1_000_000;

/** An answer of which some bytes are held. */
export abstract class HeldAnswer {
  /** Returns the number of bytes held now. */
  abstract measure(): number;
  /** Ends the answer so that its caller sees that it is incomplete. */
  abstract cutOff(): void;
}

/** Bytes held by all answers of one gateway. */
export class DeliveryBuffers {
  /** Maximum number of bytes held for all answers. */
  maxTotalBytes: number;
  private readonly answers = new Map<HeldAnswer, number>();
  private sum = 0;

  constructor(memoryMegabytes: number) {
    this.maxTotalBytes = memoryMegabytes * BYTES_PER_MEGABYTE * TOTAL_SHARE;
  }

  /** Number of bytes held for one answer from which its instance is not read. */
  get maxAnswerBytes(): number {
    return this.maxTotalBytes * ANSWER_SHARE;
  }

  /** Bytes held as of the last updates; answers may have been read since. */
  get totalBytes(): number {
    return this.sum;
  }

  /** Number of answers of which some bytes are held. */
  get answerCount(): number {
    return this.answers.size;
  }

  /** Records the bytes that are held for the answer now. If the sum is exceeded, the answers with the most bytes are cut off. */
  update(answer: HeldAnswer): void {
    this.record(answer);
    if (this.sum <= this.maxTotalBytes) {
      return;
    }
    [...this.answers.keys()].forEach(each => this.record(each));
    while (this.sum > this.maxTotalBytes) {
      const largest = this.findLargest();
      this.remove(largest);
      largest.cutOff();
    }
  }

  /** Forgets an answer that has ended. */
  remove(answer: HeldAnswer): void {
    this.sum -= this.answers.get(answer) ?? 0;
    this.answers.delete(answer);
  }

  private record(answer: HeldAnswer): void {
    const bytes = answer.measure();
    this.sum += bytes - (this.answers.get(answer) ?? 0);
    if (bytes > 0) {
      this.answers.set(answer, bytes);
    } else {
      this.answers.delete(answer);
    }
  }

  private findLargest(): HeldAnswer {
    let largest: HeldAnswer | undefined;
    let most = -1;
    for (const [answer, bytes] of this.answers) {
      if (bytes > most) {
        largest = answer;
        most = bytes;
      }
    }
    return largest!;
  }
}
