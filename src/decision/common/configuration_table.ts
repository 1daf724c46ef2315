/** Active configuration objects at one instance. */
import * as protobuf from '@bufbuild/protobuf';
import * as rxjs from 'rxjs';
import * as configurationMessages from '../../protocol/common/configuration_messages';
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';

/** Number of accepted changes kept for peers that lag behind. */
const MAX_KEPT_CHANGES = 256;

/** Name of the single object of kind deployment. */
export const DEPLOYMENT_NAME = 'deployment';

/** Converts an object to its stored and relayed form. */
export function toStored(
  object: operator.DeclaredObject,
  version: number,
): configurationMessages.StoredObject {
  return {
    kind: object.kind,
    name: object.name,
    version,
    isRemoved: false,
    json: protobuf.toJsonString(operator.DeclaredObjectSchema, {
      ...object,
      version: BigInt(version),
    }),
  };
}

/** Converts the removal of an object to its stored and relayed form. */
export function toRemoved(
  object: operator.DeclaredObject,
  version: number,
): configurationMessages.StoredObject {
  return {
    kind: object.kind,
    name: object.name,
    version,
    isRemoved: true,
    json: '',
  };
}

/** Change of one object. */
export interface ConfigurationChange {
  readonly kind: operator.ObjectKind;
  readonly name: string;
  /** Undefined for a removed object. */
  readonly object: operator.DeclaredObject | undefined;
  readonly revision: number;
}

function keyOf(kind: operator.ObjectKind, name: string): string {
  return `${kind}/${name}`;
}

/** Holds the configuration objects at the highest revision seen; the revision never decreases. */
export class ConfigurationTable {
  private readonly objects = new Map<string, operator.DeclaredObject>();
  private readonly customersByToken = new Map<
    string,
    operator.DeclaredObject
  >();
  private readonly changes: configurationMessages.AcceptedChange[] = [];
  private readonly changed = new rxjs.Subject<ConfigurationChange>();
  private readonly revisionAdvanced = new rxjs.Subject<number>();
  private currentRevision = 0;

  /** Active revision. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Fires for each object that changes. */
  get onDidChange(): rxjs.Observable<ConfigurationChange> {
    return this.changed;
  }

  /** Fires with each new revision. */
  get onDidAdvance(): rxjs.Observable<number> {
    return this.revisionAdvanced;
  }

  /** Applies an accepted change if it directly follows the current revision; returns whether it did. */
  applyChange(change: configurationMessages.AcceptedChange): boolean {
    if (change.revision !== this.currentRevision + 1) {
      return false;
    }
    change.objects.forEach(stored => this.put(stored, change.revision));
    this.changes.push(change);
    this.changes.splice(0, Math.max(0, this.changes.length - MAX_KEPT_CHANGES));
    this.advance(change.revision);
    return true;
  }

  /** Applies a relayed state if its revision is higher than the current one; returns whether it was applied. */
  applySync(
    sync: configurationMessages.SyncReply,
    fromRevision: number,
  ): boolean {
    if (sync.revision <= this.currentRevision) {
      return false;
    }
    if (!sync.isSnapshot && fromRevision > this.currentRevision) {
      return false;
    }
    if (sync.isSnapshot) {
      this.removeMissing(sync);
    }
    sync.objects.forEach(stored => this.put(stored, sync.revision));
    // The individual changes up to this revision are unknown, so lagging peers get a snapshot.
    this.changes.length = 0;
    this.advance(sync.revision);
    return true;
  }

  /** Returns what a peer at the revision lacks: the changes since then if all of them are still kept, otherwise a snapshot. */
  changesSince(
    revision: number,
    withoutCustomers: boolean,
  ): configurationMessages.SyncReply {
    const isWanted = (stored: configurationMessages.StoredObject) =>
      !withoutCustomers || stored.kind !== operator.ObjectKind.CUSTOMER;
    const oldest = this.changes[0]?.revision ?? Infinity;
    if (revision > 0 && revision + 1 >= oldest) {
      const objects = this.changes
        .filter(change => change.revision > revision)
        .flatMap(change => change.objects)
        .filter(isWanted);
      return {revision: this.currentRevision, isSnapshot: false, objects};
    }
    return {
      revision: this.currentRevision,
      isSnapshot: true,
      objects: this.snapshot().filter(isWanted),
    };
  }

  /** Returns every object in its stored form. */
  snapshot(): configurationMessages.StoredObject[] {
    return [...this.objects.values()].map(object =>
      toStored(object, Number(object.version)),
    );
  }

  get(
    kind: operator.ObjectKind,
    name: string,
  ): operator.DeclaredObject | undefined {
    return this.objects.get(keyOf(kind, name));
  }

  /** Lists the objects of a kind, or of every kind for UNSPECIFIED. */
  list(kind: operator.ObjectKind): operator.DeclaredObject[] {
    const all = [...this.objects.values()];
    const isAll = kind === operator.ObjectKind.UNSPECIFIED;
    return isAll ? all : all.filter(object => object.kind === kind);
  }

  /** Finds a customer by the SHA-256 of its token. */
  customerByToken(tokenSha256: string): operator.DeclaredObject | undefined {
    return this.customersByToken.get(tokenSha256);
  }

  private removeMissing(sync: configurationMessages.SyncReply): void {
    const present = new Set(
      sync.objects.map(stored => keyOf(stored.kind, stored.name)),
    );
    for (const object of [...this.objects.values()]) {
      if (!present.has(keyOf(object.kind, object.name))) {
        this.put(toRemoved(object, sync.revision), sync.revision);
      }
    }
  }

  private put(
    stored: configurationMessages.StoredObject,
    revision: number,
  ): void {
    const key = keyOf(stored.kind, stored.name);
    const before = this.objects.get(key);
    if (
      before !== undefined &&
      Number(before.version) === stored.version &&
      !stored.isRemoved
    ) {
      return;
    }
    if (before?.spec.case === 'customer') {
      this.customersByToken.delete(before.spec.value.tokenSha256);
    }
    this.objects.delete(key);
    const object = stored.isRemoved
      ? undefined
      : protobuf.fromJsonString(operator.DeclaredObjectSchema, stored.json);
    if (object !== undefined) {
      this.objects.set(key, object);
    }
    if (object?.spec.case === 'customer') {
      this.customersByToken.set(object.spec.value.tokenSha256, object);
    }
    this.changed.next({kind: stored.kind, name: stored.name, object, revision});
  }

  private advance(revision: number): void {
    this.currentRevision = revision;
    this.revisionAdvanced.next(revision);
  }
}
