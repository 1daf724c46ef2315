/** Finds the software version at which a stream has to be resumed. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as directMembers from '../../common/fleet/direct_members';
import * as endpointVersions from '../../common/versions/endpoint_versions';
import * as streamVersions from '../../common/versions/stream_versions';
import * as versionDirectory from '../../common/versions/version_directory';
import * as versionStore from '../../common/versions/version_store';
import * as callContext from '../call_context';
import * as fleetExchange from '../fleet/fleet_exchange';
import * as stateFollower from '../state_follower';
import * as endpointRecords from './endpoint_records';
import * as streamJournalStore from './stream_journal_store';

/** Maximum number of earlier streams that are announced when an endpoint gets a second version, the latest ones. */
const MAX_SHARED_AT_ONCE = 2_048;
/** Timeout of a lookup if only one version was registered lately, in milliseconds: an answer could only contradict it. */
const CONFIRMATION_MILLISECONDS = 80;
/** Retry delay if a gateway that may know the stream did not answer, in seconds. */
const UNANSWERED_RETRY_SECONDS = 0.5;

/** Software version that began a stream. */
export interface StreamOrigin {
  /** Whether the version is known, or the stream has not begun; the stream must not be resumed otherwise. */
  readonly isKnown: boolean;
  /** Undefined if the stream may run at any version. */
  readonly softwareVersion: string | undefined;
  /** Retry delay while the version is not known, in seconds; Infinity if no gateway knows it. */
  readonly retrySeconds: number;
}

/** A stream that has no event yet. */
const NOT_BEGUN: StreamOrigin = {
  isKnown: true,
  softwareVersion: undefined,
  retrySeconds: 0,
};

/** What `StreamOrigins` keeps in the store, and for whom. */
export interface OriginsStorage {
  readonly store: versionStore.VersionStore;
  readonly gatewayName: string;
  /** Whether the whole system starts for the first time, so that no stream began before. */
  readonly isFirstStart: boolean;
}

/** Streams by the version that began them. */
export class StreamOrigins implements disposable.Disposable {
  private readonly streams = new streamVersions.StreamVersions();
  private readonly versions = new endpointVersions.EndpointVersions();
  private readonly directory: versionDirectory.VersionDirectory;
  private readonly records: endpointRecords.EndpointRecords;
  private readonly journal: streamJournalStore.StreamJournalStore;
  private readonly subscriptions: rxjs.Subscription[];
  /** Set while announcements are queued. */
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly members: directMembers.DirectMembers,
    exchange: fleetExchange.FleetExchange,
    private readonly log: jsonLog.JsonLog,
    {store, gatewayName, isFirstStart}: OriginsStorage,
  ) {
    this.directory = new versionDirectory.VersionDirectory(
      this.streams,
      members,
      (ip, message) => exchange.sendDirect(ip, message),
      performance.now(),
    );
    this.subscriptions = [
      follower.onDidChangeInstances.subscribe(() =>
        this.versions.update(follower.instances.all(), performance.now()),
      ),
      this.versions.onDidMix.subscribe(() => this.share()),
      follower.era.onDidChange.subscribe(() => this.journal.enterEra()),
      exchange.onDidReceiveDirect.subscribe(({ip, message}) =>
        this.directory.receive(ip, message, performance.now()),
      ),
    ];
    // Subscribed after the versions, which it compares with the record.
    this.records = new endpointRecords.EndpointRecords(
      follower,
      this.versions,
      store,
      isFirstStart,
      log,
    );
    this.journal = new streamJournalStore.StreamJournalStore(
      store,
      gatewayName,
      () => this.versions.isAnyMixed(performance.now()),
      log,
    );
  }

  dispose(): void {
    this.subscriptions.forEach(each => each.unsubscribe());
    this.records.dispose();
    this.journal.dispose();
    clearTimeout(this.timer);
  }

  /** Records that the stream of a call has its first event. */
  recordBegun(context: callContext.CallContext, softwareVersion: string): void {
    const {call} = context;
    const attemptId = call.caller.attemptId ?? '';
    if (!call.route.isResumable || attemptId === '') {
      return;
    }
    const now = performance.now();
    const isMixed = this.versions.isMixed(call.endpointName, now);
    this.streams.record(attemptId, softwareVersion, now, isMixed);
    this.journal.add(attemptId, softwareVersion);
    if (
      isMixed &&
      !this.directory.announce([attemptId, softwareVersion], now)
    ) {
      context.log('stream-versions-not-told', {streams: 1});
    }
    this.scheduleStep();
  }

  /** Records that the stream of a call was delivered to its end. */
  recordCompleted({call}: callContext.CallContext): void {
    const {attemptId, resumedAttemptId} = call.caller;
    this.journal.complete(resumedAttemptId ?? attemptId ?? '');
  }

  /** Finds the version that began the stream of a call. */
  async find(context: callContext.CallContext): Promise<StreamOrigin> {
    const {caller, endpointName} = context.call;
    if (!isResumption(caller.lastEventId)) {
      return NOT_BEGUN;
    }
    const attemptId = caller.resumedAttemptId ?? '';
    const remembered = this.streams.find(attemptId, performance.now());
    if (remembered === undefined) {
      await this.records.load(endpointName);
    }
    const now = performance.now();
    const sole = this.versions.soleVersion(endpointName, now);
    const result =
      remembered === undefined && attemptId !== ''
        ? await this.lookUp(attemptId, sole)
        : {softwareVersion: remembered, queried: 0, answered: 0};
    const isOpen =
      result.softwareVersion === undefined &&
      sole === undefined &&
      attemptId !== '';
    const stored = isOpen ? await this.journal.find(attemptId) : undefined;
    const origin = this.judge(result, sole, stored);
    context.log('stream-taken-up', {
      resumes: attemptId,
      last_event_id: caller.lastEventId,
      software_version: origin.softwareVersion ?? null,
      remembered: remembered !== undefined,
      stored: stored?.softwareVersion !== undefined,
      asked_peers: result.queried,
      answering_peers: result.answered,
    });
    if (origin.softwareVersion !== undefined) {
      this.streams.record(attemptId, origin.softwareVersion, now);
      this.journal.add(attemptId, origin.softwareVersion);
    }
    return origin;
  }

  /** Decides by the results of lookups, and by the only version that was registered lately, if there is one. */
  private judge(
    {softwareVersion, queried, answered}: versionDirectory.LookupResult,
    sole: string | undefined,
    stored: streamJournalStore.JournalResult | undefined,
  ): StreamOrigin {
    // With an outdated list of instances, a second version may serve unnoticed.
    const isListCurrent = !this.follower.isSourceUnavailable;
    const isConfirmed = isListCurrent || queried === 0 || answered > 0;
    const version =
      softwareVersion ??
      stored?.softwareVersion ??
      (isConfirmed ? sole : undefined);
    const mayBeKnownSoon =
      answered < queried ||
      stored?.isRead === false ||
      this.members.isSettling(performance.now());
    return {
      isKnown: version !== undefined,
      softwareVersion: version,
      retrySeconds: mayBeKnownSoon ? UNANSWERED_RETRY_SECONDS : Infinity,
    };
  }

  private async lookUp(
    attemptId: string,
    sole: string | undefined,
  ): Promise<versionDirectory.LookupResult> {
    const {sequence, found} = this.directory.lookUp(
      attemptId,
      performance.now(),
    );
    const timer = setTimeout(
      () => this.directory.giveUp(sequence),
      sole === undefined
        ? versionDirectory.ANSWER_TIMEOUT_MILLISECONDS
        : CONFIRMATION_MILLISECONDS,
    );
    const result = await rxjs.firstValueFrom(found);
    clearTimeout(timer);
    return result;
  }

  /** Announces the streams that began while there was one version. */
  private share(): void {
    const now = performance.now();
    const unannounced = this.streams
      .share(MAX_SHARED_AT_ONCE)
      .filter(stream => !this.directory.announce(stream, now));
    if (unannounced.length > 0) {
      this.log.write('stream-versions-not-told', {
        streams: unannounced.length,
      });
    }
    this.scheduleStep();
  }

  /** Schedules the next step of the directory; without queued announcements there is no timer. */
  private scheduleStep(): void {
    const milliseconds = this.directory.nextStepMilliseconds;
    if (this.timer !== undefined || milliseconds === undefined) {
      return;
    }
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.directory.step(performance.now());
      this.scheduleStep();
    }, milliseconds);
    this.timer.unref();
  }
}

/** Whether the caller has events of the stream. */
function isResumption(lastEventId: string | undefined): boolean {
  return lastEventId !== undefined && !['', '0'].includes(lastEventId.trim());
}
