/** Program that runs the scenario of slow readers and prints its result as JSON. */
import * as slowReaderScenario from './slow_reader_scenario';

void slowReaderScenario
  .run({teardown: () => undefined})
  .then(result =>
    process.stdout.write(JSON.stringify(result), () => process.exit(0)),
  );
