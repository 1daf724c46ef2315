/** Fields of the log line about a placed generation. */
import * as placement from '../common/placement';
import * as runTable from '../common/run_table';
import * as callContext from './call_context';

/** Number of parts of a prompt that a line names. */
const MAX_LOGGED_PARTS = 16;

type LogFields = Readonly<Record<string, unknown>>;

/** What was to be placed. */
export function requestFields(
  {caller}: callContext.AcceptedCall,
  run: runTable.Run,
): LogFields {
  return {
    expected_tokens: Math.round(run.expectedTokens),
    prompt_tokens: run.promptTokens,
    prompt_parts: caller.sharedParts.slice(0, MAX_LOGGED_PARTS),
    prompt_part_count: caller.sharedParts.length,
    resumes: caller.resumedAttemptId,
    last_event_id: caller.lastEventId,
  };
}

/** What was expected of the chosen instance. */
export function choiceFields(choice: placement.GenerationChoice): LogFields {
  return {
    memory_share: hundredths(choice.memoryShare),
    software_version: choice.instance.record.softwareVersion,
    speed: hundredths(choice.speed),
    forecast_pause_ms: rounded(choice.forecastPauseMilliseconds),
  };
}

/** Label of the forecast pause in the metrics. */
export function pauseLabel(
  {forecastPauseMilliseconds: forecast}: placement.GenerationChoice,
  {route: {maxPauseMilliseconds}}: callContext.AcceptedCall,
): string {
  if (forecast === undefined || maxPauseMilliseconds === 0) {
    return 'unknown';
  }
  return forecast <= maxPauseMilliseconds ? 'within-limit' : 'beyond-limit';
}

/** The number without its fraction. */
export function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}

function hundredths(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value * 100) / 100;
}
