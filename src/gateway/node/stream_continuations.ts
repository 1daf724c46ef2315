/** Chooses where a stream goes on after its instance has stopped. */
import * as configuration from '../common/configuration';
import * as instanceClient from '../common/instance_client';
import * as instancePermits from '../common/limits/instance_permits';
import * as placement from '../common/placement';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';
import * as runCopies from './run_copies';

/** Time for which a stream that has begun waits until an instance takes a request, in milliseconds; callers abandon a stream after a pause of two seconds. */
const PATIENCE_MILLISECONDS = 1_000;
const NONE: ReadonlySet<string> = new Set();

/** Continuations of one call. */
export class StreamContinuations {
  constructor(private readonly context: callContext.CallContext) {}

  /** Returns the copy to continue from, once its instance takes a request; undefined if there is none or that takes too long. */
  async takeCopy(
    copies: runCopies.RunCopies,
  ): Promise<instanceClient.RunTarget | undefined> {
    const copied = copies.take(performance.now());
    if (copied === undefined) {
      return undefined;
    }
    const {permits} = this.context.services;
    const {id} = copied.instance.record;
    const {choice} = await permits.selectWithin(
      NONE,
      barred => (barred.has(id) ? undefined : copied),
      PATIENCE_MILLISECONDS,
    );
    if (choice === undefined) {
      this.context.log('copy-without-permit', {}, copied.instance);
    }
    return choice;
  }

  /** Chooses an instance for a new run of the generation. */
  chooseInstance(
    run: runTable.Run,
    engine: configuration.EngineProfile,
    hasBegun: boolean,
  ): Promise<instancePermits.Selection<placement.GenerationChoice>> {
    const {services, excluded} = this.context;
    return services.permits.selectWithin(
      excluded,
      barred =>
        services.scheduler.chooseInstance(run, {
          excluded: barred,
          dataCentre: services.dataCentre,
          capacityTokens: engine.memoryTokens || Infinity,
          remoteCostMilliseconds: 0,
          isCopy: false,
        }),
      hasBegun ? PATIENCE_MILLISECONDS : 0,
    );
  }
}
