/** Finds why a call must not reach an instance. */
import * as instanceClient from '../common/instance_client';
import * as promptPartBlame from '../common/prompt_part_blame';
import * as gatewayServices from './gateway_services';

/** Parts that an answer names at most. */
const MAX_NAMED_PARTS = 8;

/** A call as the tables of crashes know it. */
export interface JudgedCall {
  readonly fingerprint: string;
  readonly caller: instanceClient.CallerRequest;
}

/** Returns what the request, or parts of its prompt, did to instances; undefined if it may be sent. */
export function findPoisonReason(
  services: gatewayServices.GatewayServices,
  {fingerprint, caller}: JudgedCall,
  now: number,
): string | undefined {
  if (services.crashes.isBlocked(fingerprint, now)) {
    return 'the request crashed the instances that ran it';
  }
  const judgement = services.promptParts.judge(caller.sharedParts, now);
  return judgement?.verdict === promptPartBlame.Verdict.Blocked
    ? `parts of the prompt crashed the engines that answered it: ${judgement.parts.slice(0, MAX_NAMED_PARTS).join()}`
    : undefined;
}
