/**
 * The instance list as this entry knows it. The entries share the work of
 * reading it: each reads seldom, and the others learn from it by gossip.
 */
import * as rxjs from 'rxjs';
import * as disposable from '../../base/common/disposable';
import * as deadline from '../../base/common/deadline';
import * as settingsFile from '../../base/node/settings_file';
import * as instanceList from '../../storage/common/instance_list';

/** Time between reads of the list by all entries together, in milliseconds. */
const DEPLOYMENT_READ_INTERVAL_MILLISECONDS = 500;

/** A reading of the list. */
export interface MembershipView {
  /** Unix milliseconds of the reading. */
  readonly readAt: number;
  readonly hash: string;
  readonly instances: readonly instanceList.InstanceRecord[];
}

const EMPTY_VIEW: MembershipView = {readAt: 0, hash: '', instances: []};

/** Holds the latest reading. */
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

  /** Fires with each reading that differs from the one before. */
  get onDidChange(): rxjs.Observable<MembershipView> {
    return this.viewSubject;
  }

  /** Live entries. */
  get entries(): readonly instanceList.InstanceRecord[] {
    return this.view.instances.filter(
      record => record.role === instanceList.InstanceRole.Entry,
    );
  }

  /** Finds an instance by name. */
  find(instance: string): instanceList.InstanceRecord | undefined {
    return this.view.instances.find(record => record.instance === instance);
  }

  /** Reads the list now, and from then on in turn with the other entries. */
  async start(): Promise<void> {
    await this.read();
    this.schedule();
  }

  /** Takes over a reading of another entry if it is later. */
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
      // Nothing changed, so only the age of the reading is renewed, without an event.
      Object.assign(this.view, {readAt: view.readAt});
      return;
    }
    this.viewSubject.next(view);
  }
}
