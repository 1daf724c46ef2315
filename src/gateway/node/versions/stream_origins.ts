/** Finds the software version at which a stream has to go on that its caller takes up. */
import * as rxjs from 'rxjs';
import * as disposable from '../../../base/common/disposable';
import * as endpointVersions from '../../common/versions/endpoint_versions';
import * as streamVersions from '../../common/versions/stream_versions';
import * as callContext from '../call_context';
import * as stateFollower from '../state_follower';

/** Where a stream has to go on. */
export interface StreamOrigin {
  /** Whether the stream may go on; false if the version that began it is not known. */
  readonly isKnown: boolean;
  /** Undefined if any version will do. */
  readonly softwareVersion: string | undefined;
}

/** A stream that has no event yet. */
const NOT_BEGUN: StreamOrigin = {isKnown: true, softwareVersion: undefined};

/** Streams by the version that began them. */
export class StreamOrigins implements disposable.Disposable {
  private readonly streams = new streamVersions.StreamVersions();
  private readonly versions = new endpointVersions.EndpointVersions();
  private readonly subscription: rxjs.Subscription;

  constructor(private readonly follower: stateFollower.StateFollower) {
    this.subscription = follower.onDidChangeInstances.subscribe(() =>
      this.versions.update(follower.instances.all(), performance.now()),
    );
  }

  dispose(): void {
    this.subscription.unsubscribe();
  }

  /** Records that the stream of a call has its first event. */
  recordBegun(context: callContext.CallContext, softwareVersion: string): void {
    const {attemptId} = context.call.caller;
    const now = performance.now();
    this.streams.record(attemptId ?? '', softwareVersion, now);
  }

  /** Finds where the stream of a call has to go on. */
  find(context: callContext.CallContext): StreamOrigin {
    const {caller, endpointName} = context.call;
    if (!takesUp(caller.lastEventId)) {
      return NOT_BEGUN;
    }
    const now = performance.now();
    const attemptId = caller.resumedAttemptId ?? '';
    const softwareVersion =
      this.streams.find(attemptId, now) ??
      this.versions.soleVersion(endpointName, now);
    const isKnown = softwareVersion !== undefined;
    context.log('stream-taken-up', {
      resumes: attemptId,
      last_event_id: caller.lastEventId,
      software_version: softwareVersion ?? null,
    });
    return {isKnown, softwareVersion};
  }
}

/** Whether the caller has events of the stream. */
function takesUp(lastEventId: string | undefined): boolean {
  return lastEventId !== undefined && !['', '0'].includes(lastEventId.trim());
}
