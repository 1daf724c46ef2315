/** Finds the orders that are needed so that engines load the declared models. */
import * as operator from '../../protocol/generated/rhubarbvane/v1/operator_pb';
import * as configurationTable from './configuration_table';

/** A listed engine instance. */
export interface OrderTarget {
  readonly instance: string;
  readonly endpoint: string;
  readonly address: string;
}

/** A model that an engine instance should have loaded. */
export interface RequiredLoad {
  readonly target: OrderTarget;
  readonly model: string;
  /** Model and weights version in the form `model@version`. */
  readonly subject: string;
}

/** Time after which a confirmed engine is checked again, in milliseconds. */
const RECHECK_MILLISECONDS = 60_000;

/** Tracks which engines were recently confirmed to have the declared models loaded. */
export class OrderSystem {
  private readonly confirmedAt = new Map<string, number>();

  /** Returns the declared models that are not confirmed as loaded at the listed engine instances. */
  findMissing(
    configuration: configurationTable.ConfigurationTable,
    targets: readonly OrderTarget[],
    now: number,
  ): RequiredLoad[] {
    const loads = declaredLoads(configuration);
    const missing: RequiredLoad[] = [];
    for (const target of targets) {
      for (const {model, subject, endpoints} of loads) {
        const at = this.confirmedAt.get(keyOf(target, subject)) ?? -Infinity;
        const isDue = now - at > RECHECK_MILLISECONDS;
        if (endpoints.includes(target.endpoint) && isDue) {
          missing.push({target, model, subject});
        }
      }
    }
    return missing;
  }

  /** Records that an engine has the model loaded. */
  confirm(load: RequiredLoad, now: number): void {
    this.confirmedAt.set(keyOf(load.target, load.subject), now);
  }

  /** Clears all confirmations, for example after the lease was lost in between. */
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
