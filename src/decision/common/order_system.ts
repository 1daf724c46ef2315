/** Finds the orders that engines need so that they serve what is declared. */
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';
import * as configurationTable from './configuration_table';

/** An engine instance as listed. */
export interface OrderTarget {
  readonly instance: string;
  readonly endpoint: string;
  readonly address: string;
}

/** An engine instance and what it should have loaded. */
export interface RequiredLoad {
  readonly target: OrderTarget;
  readonly model: string;
  /** Model and version in one name. */
  readonly subject: string;
}

/** Time after which an engine that was found in order is asked again, in milliseconds. */
const RECHECK_MILLISECONDS = 60_000;

/** Remembers which engines were lately found to have what is declared. */
export class OrderSystem {
  private readonly confirmedAt = new Map<string, number>();

  /** Returns what is not known to be loaded, for the listed engine instances. */
  findMissing(
    configuration: configurationTable.ConfigurationTable,
    targets: readonly OrderTarget[],
    now: number,
  ): RequiredLoad[] {
    const loads = declaredLoads(configuration);
    const wanted: RequiredLoad[] = [];
    for (const target of targets) {
      for (const {model, subject, endpoints} of loads) {
        const at = this.confirmedAt.get(keyOf(target, subject)) ?? -Infinity;
        const isDue = now - at > RECHECK_MILLISECONDS;
        if (endpoints.includes(target.endpoint) && isDue) {
          wanted.push({target, model, subject});
        }
      }
    }
    return wanted;
  }

  /** Notes that an engine has what was wanted. */
  confirm(load: RequiredLoad, now: number): void {
    this.confirmedAt.set(keyOf(load.target, load.subject), now);
  }

  /** Forgets everything, as when the lease was lost in between. */
  reset(): void {
    this.confirmedAt.clear();
  }
}

interface DeclaredLoad {
  readonly model: string;
  readonly subject: string;
  readonly endpoints: readonly string[];
}

function declaredLoads(
  configuration: configurationTable.ConfigurationTable,
): DeclaredLoad[] {
  const loads: DeclaredLoad[] = [];
  for (const object of configuration.list(operator.ObjectKind.ROUTE)) {
    const route = object.spec.value as operator.Route;
    const model = configuration.get(operator.ObjectKind.MODEL, route.model);
    const version =
      model?.spec.case === 'model' ? model.spec.value.weightsVersion : '';
    if (version !== '') {
      const subject = `${route.model}@${version}`;
      loads.push({model: route.model, subject, endpoints: route.endpoints});
    }
  }
  return loads;
}

function keyOf(target: OrderTarget, subject: string): string {
  return `${target.instance}/${target.address}/${subject}`;
}
