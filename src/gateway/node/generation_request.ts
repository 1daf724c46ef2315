/** A caller's generation as placement and the run table see it. */
import * as instanceTable from '../common/instance_table';
import * as runTable from '../common/run_table';
import * as engineOutlook from '../common/speeds/engine_outlook';
import * as callContext from './call_context';

/** The run of a generation that begins at the instance. */
export function createRun(
  {caller, endpoint, endpointName}: callContext.AcceptedCall,
  {record}: instanceTable.Instance,
  expectedTokens: number,
): runTable.Run {
  return {
    attemptId: caller.attemptId ?? '',
    instanceId: record.id,
    copyInstanceId: undefined,
    endpoint: endpointName,
    promptTokens: caller.promptTokens,
    maxTokens: caller.maxTokens,
    expectedTokens,
    tokensPerEvent: endpoint?.engine?.tokensPerEvent ?? 1,
    eventsDelivered: 0,
    hasStarted: false,
  };
}

/** What matters of a generation for its pauses. */
export function forecastStream(
  {caller, endpoint, route}: callContext.AcceptedCall,
  expectedTokens: number,
  mostUrgentPriority: number,
): engineOutlook.ForecastStream {
  return {
    promptTokens: caller.promptTokens,
    expectedTokens,
    tokensPerEvent: endpoint?.engine?.tokensPerEvent ?? 1,
    objectiveMilliseconds: route.objectiveMilliseconds,
    maxPauseMilliseconds: route.maxPauseMilliseconds,
    isMostUrgent: route.priority <= mostUrgentPriority,
  };
}
