/** Excludes the instances of evacuated data centres. */
import * as instanceTable from '../instance_table';
import * as evacuatedDataCentres from './evacuated_data_centres';
import * as instanceAvailability from './instance_availability';

const {UnavailableReason} = instanceAvailability;

/** Excludes the instances of data centres that an operator evacuates. */
export class EvacuationRule extends instanceAvailability.AvailabilityRule {
  constructor(
    private readonly dataCentres: evacuatedDataCentres.EvacuatedDataCentres,
    /** Monotonic milliseconds at which the gateway started. */
    private readonly startedAt: number,
    /**
     * Time after the start for which no instance is used while the set is not
     * known, in milliseconds. A gateway that reaches neither the source nor a
     * peer that knows serves after it, as one that is not in contact.
     */
    private readonly unknownMilliseconds: number,
  ) {
    super();
  }

  /** Whether requests wait for the set to become known. */
  isPending(now: number): boolean {
    return (
      !this.dataCentres.isKnown &&
      now < this.startedAt + this.unknownMilliseconds
    );
  }

  check(
    {record}: instanceTable.Instance,
    _request: instanceAvailability.AvailabilityRequest,
    now: number,
  ): instanceAvailability.Unavailability | undefined {
    const reason = UnavailableReason.Evacuated;
    if (this.isPending(now)) {
      const until = this.startedAt + this.unknownMilliseconds;
      return {reason, since: this.startedAt, until};
    }
    const since = this.dataCentres.evacuatedSince(record.dataCentre);
    return since === undefined ? undefined : {reason, since, until: undefined};
  }
}
