/**
 * Speeds of instances, measured by this gateway and told by its peers. Meant
 * for fleets in which each gateway sees only some streams of each instance.
 */
import * as instanceTable from '../instance_table';
import * as serviceMeter from './service_meter';
import * as speedMeter from './speed_meter';

/** A speed in a message between gateways: incarnation, speed in hundredths, age in tenths of a second. */
export type RelayedSpeed = readonly [string, number, number];

/** Maximum number of speeds in a digest. */
export const MAX_RELAYED = 48;
/** Age after which an estimate no longer counts, in milliseconds. */
const LIFETIME_MILLISECONDS = 60_000;
/** Maximum number of incarnations of which a speed is known; the least recently updated are dropped first. */
const MAX_ESTIMATES = 4_096;
/** Maximum number of instances that this gateway measures; the least recently added are dropped first. */
const MAX_METERS = 1_024;
/** Relative difference from which peers are told a new estimate of an engine. */
const ENGINE_DIFFERENCE = 0.08;
/** The same for a plain service, whose answers vary; smaller differences do not change a placement. */
const SERVICE_DIFFERENCE = 0.35;
/** Time after which peers are told an unchanged estimate again, in milliseconds. */
const RETELL_MILLISECONDS = 10_000;
/** Time for which an estimate stays in the digests once it is told, in milliseconds; several digests make up for lost ones. */
const TELLING_MILLISECONDS = 2_500;
/** Ratio of the fastest instance to the slowest from which the instances of an endpoint differ; estimates of equal ones differ by less. */
const UNEVEN_RATIO = 1.2;
/** Time for which the summary of an endpoint is kept, in milliseconds. */
const SUMMARY_MILLISECONDS = 250;

interface Estimate {
  readonly speed: number;
  /** Monotonic milliseconds of the last measurement. */
  readonly at: number;
}

/** An estimate of this gateway. */
interface OwnEstimate extends Estimate {
  /** Relative difference from which peers are told. */
  readonly difference: number;
}

/** What peers were last told of an incarnation, by any gateway. */
interface Told extends Estimate {
  /** Monotonic milliseconds until which this gateway repeats it. */
  readonly repeatUntil: number;
}

/** Speeds of the instances of one endpoint. */
export interface SpeedSummary {
  /** Known speeds by instance id. */
  readonly speeds: ReadonlyMap<string, number>;
  /** Median of the known speeds; 1 without any. */
  readonly median: number;
  /** Whether the instances differ by more than measurements do. */
  readonly isUneven: boolean;
}

interface CachedSummary extends SpeedSummary {
  readonly until: number;
}

/** Estimates by incarnation. */
export class InstanceSpeeds {
  private readonly engineMeters = new Map<string, speedMeter.SpeedMeter>();
  private readonly serviceMeters = new Map<string, serviceMeter.ServiceMeter>();
  private readonly own = new Map<string, OwnEstimate>();
  private readonly estimates = new Map<string, Estimate>();
  private readonly told = new Map<string, Told>();
  private readonly summaries = new Map<string, CachedSummary>();

  /** Number of incarnations of which a speed is known. */
  get size(): number {
    return this.estimates.size;
  }

  /** The meter of an engine instance. Streams keep it, so that their events cost no search. */
  engineMeter(life: string): speedMeter.SpeedMeter {
    return getOrCreate(
      this.engineMeters,
      life,
      () => new speedMeter.SpeedMeter(),
    );
  }

  /** Records the answer time of a plain call. */
  recordAnswer(life: string, milliseconds: number, now: number): void {
    const meter = getOrCreate(
      this.serviceMeters,
      life,
      () => new serviceMeter.ServiceMeter(),
    );
    // Otherwise older answers to this gateway would outweigh a change that peers have found.
    const expected = this.answerTime(life, now);
    if (expected !== undefined && serviceMeter.isLike(milliseconds, expected)) {
      meter.removeUnlike(expected);
    }
    const {speed, at} = meter.add(milliseconds, now);
    this.setOwn(life, speed, at, SERVICE_DIFFERENCE);
  }

  /** Time in which the instance of a plain service is expected to answer, in milliseconds; undefined if it is not known. */
  answerTime(life: string, now: number): number | undefined {
    const speed = this.get(life, now);
    return speed && serviceMeter.answerMilliseconds(speed);
  }

  /** Records an estimate of this gateway. */
  setOwn(
    life: string,
    speed: number,
    at: number,
    difference = ENGINE_DIFFERENCE,
  ): void {
    put(this.own, life, {speed, at, difference}, MAX_METERS);
    this.set(life, {speed, at});
  }

  /** Speed of the incarnation; undefined if it is not known. */
  get(life: string, now: number): number | undefined {
    const estimate = this.estimates.get(life);
    const isCurrent =
      estimate !== undefined && now - estimate.at <= LIFETIME_MILLISECONDS;
    return isCurrent ? estimate.speed : undefined;
  }

  /** Speeds of the endpoint's instances, renewed four times a second. */
  summary(
    endpoint: string,
    instances: readonly instanceTable.Instance[],
    now: number,
  ): SpeedSummary {
    const cached = this.summaries.get(endpoint);
    if (cached !== undefined && now < cached.until) {
      return cached;
    }
    const speeds = new Map<string, number>();
    for (const {record} of instances) {
      const speed = this.get(instanceTable.lifeOf(record), now);
      if (speed !== undefined) {
        speeds.set(record.id, speed);
      }
    }
    const sorted = [...speeds.values()].sort((left, right) => left - right);
    const summary = {
      speeds,
      median: sorted[Math.floor(sorted.length / 2)] ?? 1,
      isUneven: sorted[sorted.length - 1] >= UNEVEN_RATIO * sorted[0],
      until: now + SUMMARY_MILLISECONDS,
    };
    this.summaries.set(endpoint, summary);
    return summary;
  }

  /** Adds what peers measured, where it is newer. */
  merge(relayed: readonly RelayedSpeed[], now: number): void {
    for (const [life, hundredths, tenths] of relayed) {
      const estimate = {speed: hundredths / 100, at: now - tenths * 100};
      this.set(life, estimate);
      const told = this.told.get(life);
      if (told === undefined || told.at < estimate.at) {
        const repeatUntil = -Infinity;
        put(this.told, life, {...estimate, repeatUntil}, MAX_ESTIMATES);
      }
    }
  }

  /** Returns the estimates of this gateway that peers do not know yet, or were not told for some time. */
  toRelay(now: number): RelayedSpeed[] {
    const relayed: RelayedSpeed[] = [];
    for (const [life, estimate] of this.own) {
      const {speed, at} = estimate;
      if (now - at > TELLING_MILLISECONDS) {
        continue;
      }
      let told = this.told.get(life);
      if (told === undefined || isNews(told, estimate, now)) {
        told = {speed, at: now, repeatUntil: now + TELLING_MILLISECONDS};
        put(this.told, life, told, MAX_ESTIMATES);
      }
      if (now <= told.repeatUntil) {
        const age = Math.round((now - at) / 100);
        relayed.push([life, Math.max(1, Math.round(speed * 100)), age]);
      }
    }
    return relayed.slice(-MAX_RELAYED);
  }

  /** Replaces the estimate unless it is older; of equally old ones the lower is kept, so that the order of messages does not matter. */
  private set(life: string, estimate: Estimate): void {
    const known = this.estimates.get(life);
    const isOlder =
      known !== undefined &&
      (known.at > estimate.at ||
        (known.at === estimate.at && known.speed <= estimate.speed));
    if (known === undefined) {
      // A service with a few instances is called often until its summary is renewed.
      this.summaries.clear();
    }
    if (!isOlder) {
      put(this.estimates, life, estimate, MAX_ESTIMATES);
    }
  }
}

function isNews(
  told: Told,
  {speed, difference}: OwnEstimate,
  now: number,
): boolean {
  const change = Math.abs(speed / told.speed - 1);
  return change > difference || now - told.at > RETELL_MILLISECONDS;
}

/** Sets the entry as the last one, and removes the first beyond the bound. */
function put<T>(
  map: Map<string, T>,
  key: string,
  value: T,
  bound: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size > bound) {
    map.delete(map.keys().next().value!);
  }
}

function getOrCreate<T>(map: Map<string, T>, key: string, create: () => T): T {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = create();
  put(map, key, created, MAX_METERS);
  return created;
}
