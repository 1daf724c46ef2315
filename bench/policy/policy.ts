/** Policies that the benchmark compares. */
import * as admissionSystem from '../../src/decision/common/admission_system';
import * as lengthPredictor from '../../src/decision/common/length_predictor';
import * as placementSystem from '../../src/decision/common/placement_system';

/** Names of the compared policies. */
export enum PolicyName {
  /** Round robin, and the engine's own scheduling. */
  Naive = 'naive',
  /** Fewest outstanding tokens first and a fixed number of slots. */
  Tuned = 'tuned',
  /** The product with exact lengths. */
  Oracle = 'oracle',
  /** The product. */
  Current = 'current',
}

/** Mechanisms of the product that can be disabled. */
export enum Mechanism {
  None = 'none',
  Forecast = 'forecast',
  Prediction = 'prediction',
  QuickFirst = 'quick-first',
  Fairness = 'fairness',
  Prefix = 'prefix',
  Dispatched = 'dispatched',
  Refusal = 'refusal',
}

/** How requests are placed. */
export enum PlacementRule {
  RoundRobin = 'round-robin',
  FewestTokens = 'fewest-tokens',
  Product = 'product',
}

/** Settings of one policy. */
export interface Policy {
  readonly name: PolicyName;
  readonly placement: PlacementRule;
  readonly placementPolicy: placementSystem.PlacementPolicy;
  readonly admission: admissionSystem.AdmissionPolicy;
  /** Whether each request goes to the engine immediately, without admission. */
  readonly bypassesAdmission: boolean;
  readonly knowsLengths: boolean;
  readonly learnsLengths: boolean;
  readonly usesPriorities: boolean;
  readonly refusesRequests: boolean;
  readonly countsDispatched: boolean;
}

const NO_ADMISSION: admissionSystem.AdmissionPolicy = {
  ...admissionSystem.DEFAULT_ADMISSION_POLICY,
  isFair: false,
  isQuickFirst: false,
  usesForecast: false,
};

/** Creates a policy; the slots apply to the tuned one only. */
export function makePolicy(
  name: PolicyName,
  omitted: Mechanism,
  slots: number,
  settings: Partial<admissionSystem.AdmissionPolicy> = {},
): Policy {
  const isProduct = name === PolicyName.Current || name === PolicyName.Oracle;
  if (!isProduct) {
    const isTuned = name === PolicyName.Tuned;
    return {
      name,
      placement: isTuned
        ? PlacementRule.FewestTokens
        : PlacementRule.RoundRobin,
      placementPolicy: placementSystem.DEFAULT_PLACEMENT_POLICY,
      admission: {
        ...NO_ADMISSION,
        maxRunning: isTuned ? slots : Infinity,
        memoryShare: Infinity,
      },
      bypassesAdmission: !isTuned,
      knowsLengths: false,
      learnsLengths: false,
      usesPriorities: false,
      refusesRequests: false,
      countsDispatched: true,
    };
  }
  return {
    name,
    placement: PlacementRule.Product,
    placementPolicy: {
      ...placementSystem.DEFAULT_PLACEMENT_POLICY,
      ...(omitted === Mechanism.Prefix ? {prefixWorth: 0} : {}),
    },
    admission: {
      ...admissionSystem.DEFAULT_ADMISSION_POLICY,
      usesForecast: omitted !== Mechanism.Forecast,
      isQuickFirst: omitted !== Mechanism.QuickFirst,
      isFair: omitted !== Mechanism.Fairness,
      ...settings,
    },
    bypassesAdmission: false,
    knowsLengths: name === PolicyName.Oracle,
    learnsLengths: omitted !== Mechanism.Prediction,
    usesPriorities: omitted !== Mechanism.QuickFirst,
    refusesRequests: omitted !== Mechanism.Refusal,
    countsDispatched: omitted !== Mechanism.Dispatched,
  };
}

/** Distribution of a length that is known exactly. */
export class ExactDistribution extends lengthPredictor.LengthDistribution {
  constructor(private readonly length: number) {
    super();
  }

  survival(length: number): number {
    return length < this.length ? 1 : 0;
  }

  override expectedRemaining(generated: number): number {
    return Math.max(0, this.length - generated);
  }
}
