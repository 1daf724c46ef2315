/**
 * The instance list as known to this entry. The entries share the reads of the
 * list: each reads rarely, and passes the result on by gossip.
 */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as deadline from '../../base/common/deadline';
import * as settingsFile from '../../base/node/settings_file';
import * as instanceList from '../../storage/common/instance_list';

/** Average time between reads of the list across all entries, in milliseconds. */
const DEPLOYMENT_READ_INTERVAL_MILLISECONDS = 500;

/** The instance list at one point in time. */
export interface MembershipView {
  /** When the list was read, in Unix milliseconds. */
  readonly readAt: number;
  readonly hash: string;
  readonly instances: readonly instanceList.InstanceRecord[];
}

const EMPTY_VIEW: MembershipView = {readAt: 0, hash: '', instances: []};

/** Holds the latest instance list. */
export class Membership implements disposable.Disposable {
  private readonly viewSubject = new rxjs.BehaviorSubject<MembershipView>(
    EMPTY_VIEW,
  );
  private timer: NodeJS.Timeout | undefined;
  private isDisposed = false;

  constructor(private readonly list: instanceList.InstanceList) {}

  get view(): MembershipView {
    return this.viewSubject.value;
  }

  /** Emits the current list, then each list that differs from the one before. */
  get onDidChange(): rxjs.Observable<MembershipView> {
    return this.viewSubject;
  }

  /** Listed entries. */
  get entries(): readonly instanceList.InstanceRecord[] {
    return this.view.instances.filter(
      record => record.role === instanceList.InstanceRole.Entry,
    );
  }

  /** Returns the instance of this name if it is listed. */
  find(instance: string): instanceList.InstanceRecord | undefined {
    return this.view.instances.find(record => record.instance === instance);
  }

  /** Reads the list, and schedules further reads that are shared with the other entries. */
  async start(): Promise<void> {
    await this.read();
    this.schedule();
  }

  /** Applies a list that another entry read, if it is newer. */
  applyRemoteView(view: MembershipView): void {
    if (view.readAt <= this.view.readAt) {
      return;
    }
    this.publish(view);
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private schedule(): void {
    if (this.isDisposed) {
      return;
    }
    const readers = Math.max(1, this.entries.length);
    const interval = deadline.jittered(
      DEPLOYMENT_READ_INTERVAL_MILLISECONDS * readers,
    );
    this.timer = setTimeout(
      () => void this.read().then(() => this.schedule()),
      interval,
    );
    this.timer.unref?.();
  }

  private async read(): Promise<void> {
    const result = await this.list.read();
    if (result.isErr()) {
      return;
    }
    const hash = settingsFile.sha256(JSON.stringify(result.value));
    this.publish({readAt: Date.now(), hash, instances: result.value});
  }

  private publish(view: MembershipView): void {
    if (this.isDisposed) {
      return;
    }
    if (view.hash === this.view.hash) {
      // The list is unchanged: update only its time, without an event.
      Object.assign(this.view, {readAt: view.readAt});
      return;
    }
    this.viewSubject.next(view);
  }
}
