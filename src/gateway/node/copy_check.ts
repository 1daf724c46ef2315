/** Checks that the copy of a run exists before a generation that may run once goes on from it. */
import * as configuration from '../common/configuration';
import * as copyEvidence from '../common/copy_evidence';
import * as instanceClient from '../common/instance_client';
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';
import * as eventDelivery from './event_delivery';
import * as runCopies from './run_copies';

/** Timeout for the report of a copy's engine, in milliseconds; crowded engines take some hundred, and callers abandon a stream after a pause of two seconds. */
const REPORT_TIMEOUT_MILLISECONDS = 1_000;

/** Checks the copies of one run. */
export class CopyCheck {
  constructor(
    private readonly context: callContext.CallContext,
    private readonly run: runTable.Run,
    private readonly engine: configuration.EngineProfile,
    private readonly delivery: eventDelivery.EventDelivery,
  ) {}

  /** Whether the copy exists as far as this gateway can tell by itself. */
  mayExist(
    copy: runCopies.RequestedCopy,
    source: instanceTable.Instance,
  ): boolean {
    const facts = this.factsOf(copy, source);
    return copyEvidence.findOwnGap(facts, performance.now()) === undefined;
  }

  /** Returns whether a stream may go on from the copy; asks the copy's engine unless that would not help. */
  async isUsable(
    copy: runCopies.RequestedCopy,
    source: instanceTable.Instance,
    isSourceStopped: boolean,
  ): Promise<boolean> {
    const facts = this.factsOf(copy, source);
    const {SourceAtWork} = copyEvidence.EvidenceGap;
    const gap =
      copyEvidence.findOwnGap(facts, performance.now()) ??
      (isSourceStopped ? undefined : SourceAtWork) ??
      (await this.findReportedGap(facts, copy.target));
    if (gap !== undefined) {
      this.recordGap(gap, facts, copy);
    }
    return gap === undefined;
  }

  private async findReportedGap(
    facts: copyEvidence.CopyFacts,
    {instance}: instanceClient.RunTarget,
  ): Promise<copyEvidence.EvidenceGap | undefined> {
    if (!copyEvidence.needsReport(facts, performance.now())) {
      return undefined;
    }
    const {client} = this.context.services;
    const report = await client.readReport(
      instance,
      REPORT_TIMEOUT_MILLISECONDS,
    );
    return copyEvidence.findReportedGap(facts, report);
  }

  private recordGap(
    gap: copyEvidence.EvidenceGap,
    facts: copyEvidence.CopyFacts,
    {target, origin}: runCopies.RequestedCopy,
  ): void {
    const {context, delivery} = this;
    const {eventTimes} = delivery;
    context.services.metrics.unusedCopies.inc({gap});
    context.log(
      'copy-not-used',
      {
        gap,
        origin,
        segment_ms: eventTimes && eventTimes.latest - eventTimes.first,
        backup_delay_ms: Math.round(copyEvidence.backupDelay(facts)),
      },
      target.instance,
    );
  }

  private factsOf(
    {origin, at, target}: runCopies.RequestedCopy,
    source: instanceTable.Instance,
  ): copyEvidence.CopyFacts {
    const {run, engine, delivery} = this;
    const {record} = target.instance;
    const generatedTokens = delivery.earlierEvents * run.tokensPerEvent;
    return {
      origin,
      confirmedAt: at,
      holder: record,
      isRemote: record.dataCentre !== source.record.dataCentre,
      eventTimes: delivery.eventTimes,
      firstPartTokens: run.promptTokens + generatedTokens,
      promptTokens: run.promptTokens,
      millisecondsPerToken: engine.copyMillisecondsPerToken ?? 0,
      lifetimeMilliseconds: engine.copyLifetimeMilliseconds ?? 0,
    };
  }
}
