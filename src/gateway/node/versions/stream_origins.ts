/** Finds the software version at which a stream has to go on that its caller takes up. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as jsonLog from '../../../base/node/json_log';
import * as directMembers from '../../common/fleet/direct_members';
import * as endpointVersions from '../../common/versions/endpoint_versions';
import * as streamVersions from '../../common/versions/stream_versions';
import * as versionDirectory from '../../common/versions/version_directory';
import * as callContext from '../call_context';
import * as fleetExchange from '../fleet/fleet_exchange';
import * as stateFollower from '../state_follower';

/** Streams that other gateways are told of when an endpoint gets a second version; those begun before have mostly ended. */
const MAX_SHARED_AT_ONCE = 2_048;
/** Wait for other gateways to contradict the only version that was registered lately, in milliseconds. */
const CONFIRMATION_MILLISECONDS = 80;
/** Retry delay if other gateways may know the stream and did not answer, in seconds. */
const UNANSWERED_RETRY_SECONDS = 0.5;

/** Where a stream has to go on. */
export interface StreamOrigin {
  /** Whether the stream may go on; false if the version that began it is not known. */
  readonly isKnown: boolean;
  /** Undefined if any version will do. */
  readonly softwareVersion: string | undefined;
  /** Time after which it may be known, in seconds; Infinity if there is no hope. */
  readonly retrySeconds: number;
}

/** A stream that has no event yet. */
const NOT_BEGUN: StreamOrigin = {
  isKnown: true,
  softwareVersion: undefined,
  retrySeconds: 0,
};

/** Streams by the version that began them. */
export class StreamOrigins implements disposable.Disposable {
  private readonly streams = new streamVersions.StreamVersions();
  private readonly versions = new endpointVersions.EndpointVersions();
  private readonly directory: versionDirectory.VersionDirectory;
  private readonly subscriptions: rxjs.Subscription[];
  /** Set while streams wait to be told. */
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly follower: stateFollower.StateFollower,
    private readonly members: directMembers.DirectMembers,
    exchange: fleetExchange.FleetExchange,
    private readonly log: jsonLog.JsonLog,
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
      exchange.onDidReceiveDirect.subscribe(({ip, message}) =>
        this.directory.receive(ip, message, performance.now()),
      ),
    ];
  }

  dispose(): void {
    this.subscriptions.forEach(each => each.unsubscribe());
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
    if (isMixed && !this.directory.tell([attemptId, softwareVersion], now)) {
      context.log('stream-versions-not-told', {streams: 1});
    }
    this.scheduleStep();
  }

  /** Finds where the stream of a call has to go on. */
  async find(context: callContext.CallContext): Promise<StreamOrigin> {
    const {caller, endpointName} = context.call;
    if (!takesUp(caller.lastEventId)) {
      return NOT_BEGUN;
    }
    const attemptId = caller.resumedAttemptId ?? '';
    const now = performance.now();
    const remembered = this.streams.find(attemptId, now);
    const sole = this.versions.soleVersion(endpointName, now);
    const finding =
      remembered === undefined && attemptId !== ''
        ? await this.ask(attemptId, sole)
        : {softwareVersion: remembered, asked: 0, answered: 0};
    const origin = this.judge(finding, sole);
    context.log('stream-taken-up', {
      resumes: attemptId,
      last_event_id: caller.lastEventId,
      software_version: origin.softwareVersion ?? null,
      remembered: remembered !== undefined,
      asked_peers: finding.asked,
      answering_peers: finding.answered,
    });
    if (origin.softwareVersion !== undefined) {
      this.streams.record(attemptId, origin.softwareVersion, now);
    }
    return origin;
  }

  /** Decides by what other gateways know, and by the only version that was registered lately, if there is one. */
  private judge(
    {softwareVersion, asked, answered}: versionDirectory.Finding,
    sole: string | undefined,
  ): StreamOrigin {
    // With an outdated list of instances, a second version may serve unnoticed.
    const isListCurrent = !this.follower.isSourceUnavailable;
    const isConfirmed = isListCurrent || asked === 0 || answered > 0;
    const version = softwareVersion ?? (isConfirmed ? sole : undefined);
    return {
      isKnown: version !== undefined,
      softwareVersion: version,
      retrySeconds:
        answered < asked || this.members.isSettling(performance.now())
          ? UNANSWERED_RETRY_SECONDS
          : Infinity,
    };
  }

  private async ask(
    attemptId: string,
    sole: string | undefined,
  ): Promise<versionDirectory.Finding> {
    const {sequence, found} = this.directory.ask(attemptId, performance.now());
    const timer = setTimeout(
      () => this.directory.giveUp(sequence),
      sole === undefined
        ? versionDirectory.ANSWER_TIMEOUT_MILLISECONDS
        : CONFIRMATION_MILLISECONDS,
    );
    const finding = await rxjs.firstValueFrom(found);
    clearTimeout(timer);
    return finding;
  }

  /** Tells other gateways of the streams that began while there was one version. */
  private share(): void {
    const now = performance.now();
    const untold = this.streams
      .share(MAX_SHARED_AT_ONCE)
      .filter(stream => !this.directory.tell(stream, now));
    if (untold.length > 0) {
      this.log.write('stream-versions-not-told', {streams: untold.length});
    }
    this.scheduleStep();
  }

  /** Tells later what waits now; there is no timer while nothing does. */
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
function takesUp(lastEventId: string | undefined): boolean {
  return lastEventId !== undefined && !['', '0'].includes(lastEventId.trim());
}
