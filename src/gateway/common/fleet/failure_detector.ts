/**
 * Probes one member after the other in random order, asks others to probe one
 * that does not answer, and suspects it if that fails too. Each member is
 * probed about once an interval whatever their number.
 */
import * as memberTable from './member_table';

/** Members asked to probe one that did not answer; with one datagram in a hundred lost all of them fail once in a million times. */
const INDIRECT_PROBES = 3;

/** Probes to be sent now. */
export interface Probes {
  /** IP of the member to probe directly; undefined for none. */
  readonly direct: string | undefined;
  /** Member that others are asked to probe, and their IPs. */
  readonly indirect:
    {readonly target: string; readonly helpers: readonly string[]} | undefined;
}

interface OpenProbe {
  readonly ip: string;
  readonly sentAt: number;
}

/** Schedule of the probes of one gateway; stepped once an interval. */
export class FailureDetector {
  private order: string[] = [];
  private direct: OpenProbe | undefined;
  private indirect: OpenProbe | undefined;

  constructor(private readonly table: memberTable.MemberTable) {}

  /** Evaluates the open probes and returns the next ones. */
  step(now: number): Probes {
    if (this.indirect !== undefined && !this.hasAnswered(this.indirect)) {
      this.table.suspect(this.indirect.ip, now);
    }
    this.indirect =
      this.direct !== undefined && !this.hasAnswered(this.direct)
        ? this.direct
        : undefined;
    const next = this.next();
    this.direct = next === undefined ? undefined : {ip: next, sentAt: now};
    return {
      direct: next,
      indirect: this.indirect && {
        target: this.indirect.ip,
        helpers: this.table
          .partners(INDIRECT_PROBES)
          .map(each => each.ip)
          .filter(ip => ip !== this.indirect?.ip),
      },
    };
  }

  private hasAnswered(probe: OpenProbe): boolean {
    const member = this.table.get(probe.ip);
    return member === undefined || member.lastHeardAt >= probe.sentAt;
  }

  /** Next live member; all are taken once before any of them again. */
  private next(): string | undefined {
    for (let refills = 0; refills < 2;) {
      const ip = this.order.pop();
      if (ip === undefined) {
        this.order = this.table
          .partners(memberTable.MAX_MEMBERS)
          .map(each => each.ip);
        refills++;
        continue;
      }
      const member = this.table.get(ip);
      if (member?.state === memberTable.MemberState.Live) {
        return ip;
      }
    }
    return undefined;
  }
}
