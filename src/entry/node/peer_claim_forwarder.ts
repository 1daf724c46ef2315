/** Forwards claims to the entry that writes their page. */
import * as crypto from 'node:crypto';
import * as neverthrow from 'neverthrow';
import * as claimPage from '../../protocol/common/claim_page';
import * as claimService from './claim_service';
import * as gossipService from './gossip_service';
import * as membership from './membership';

const MAX_CACHED_WRITERS = 1_024;

/** Chooses the writer of each page by rendezvous hashing over the listed entries. */
export class PeerClaimForwarder extends claimService.ClaimForwarder {
  private writers = new Map<string, string>();
  private listHash = '';

  constructor(
    private readonly instance: string,
    private readonly members: membership.Membership,
    private readonly gossip: gossipService.GossipService,
  ) {
    super();
  }

  forward(
    page: string,
    operation: claimPage.ClaimOperation,
    isFresh: boolean,
  ): Promise<claimService.ClaimOperationResult> | undefined {
    const writer = this.writerOf(page);
    const record = this.members.find(writer);
    if (record === undefined || writer === this.instance) {
      return undefined;
    }
    return this.gossip
      .client(record.address)
      .runClaim.mutate({page, operation, isFresh})
      .then(reply =>
        reply.error === undefined
          ? neverthrow.ok(reply.result!)
          : neverthrow.err(reply.error),
      );
  }

  private writerOf(page: string): string {
    if (this.listHash !== this.members.view.hash) {
      this.writers.clear();
      this.listHash = this.members.view.hash;
    }
    const cached = this.writers.get(page);
    if (cached !== undefined) {
      return cached;
    }
    const writer = this.chooseWriter(page);
    if (this.writers.size >= MAX_CACHED_WRITERS) {
      this.writers = new Map();
    }
    this.writers.set(page, writer);
    return writer;
  }

  private chooseWriter(page: string): string {
    let best = this.instance;
    let bestRank = '';
    for (const {instance} of this.members.entries) {
      const text = `${instance}/${page}`;
      const rank = crypto.createHash('sha1').update(text).digest('hex');
      if (rank > bestRank) {
        best = instance;
        bestRank = rank;
      }
    }
    return best;
  }
}
