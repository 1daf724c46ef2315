/** Excludes instances outside of the regions that a route and a customer allow. */
import * as instanceTable from '../instance_table';
import * as instanceAvailability from './instance_availability';

/** Regions by data centre. */
export type RegionsByDataCentre = Readonly<Record<string, string>>;

/** Excludes instances whose region is missing in one of the lists of the request; an unknown region is in no list. */
export class RegionRule extends instanceAvailability.AvailabilityRule {
  private readonly regions: ReadonlyMap<string, string>;

  constructor(regions: RegionsByDataCentre) {
    super();
    this.regions = new Map(Object.entries(regions));
  }

  check(
    {record, firstSeenAt}: instanceTable.Instance,
    {allowedRegions}: instanceAvailability.AvailabilityRequest,
  ): instanceAvailability.Unavailability | undefined {
    const region = this.regions.get(record.dataCentre);
    const isAllowed = allowedRegions.every(
      list => region !== undefined && list.includes(region),
    );
    return isAllowed
      ? undefined
      : {
          reason: instanceAvailability.UnavailableReason.ForeignRegion,
          since: firstSeenAt,
          until: undefined,
        };
  }
}
