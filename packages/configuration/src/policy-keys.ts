/** The keys of `[defaults]` and `[exception NAME]` sections that set policy fields, with their value types. */
import type * as Decisions from '@jasminedale/decisions'
import * as ValueTypes from './value-type.js'

type PolicyName = keyof Decisions.Policies.Policy
type PolicyValueType<Name extends PolicyName> = ValueTypes.ValueType<Decisions.Policies.Policy[Name]>

export interface PolicyKey {
  readonly name: PolicyName
  readonly valueType: ValueTypes.ValueType<Decisions.Policies.Policy[PolicyName]>
}

const SECOND_MS = 1_000
const MINUTE_MS = 60_000
const HOUR_MS = 3_600_000
const MEBIBYTE_BYTES = 1_048_576

function createPolicyKey<Name extends PolicyName> (name: Name, valueType: PolicyValueType<Name>): PolicyKey {
  return { name, valueType }
}

/** Policy fields by INI key. */
export const POLICY_KEYS: ReadonlyMap<string, PolicyKey> = new Map([
  ['capacity-floor', createPolicyKey('capacityFloor', ValueTypes.percentage(0, 100))],
  ['ejection-evidence', createPolicyKey('ejectionEvidence', ValueTypes.number(3, 100))],
  ['ejection-hold', createPolicyKey('ejectionHold', ValueTypes.duration(SECOND_MS, HOUR_MS))],
  ['ejection-hold-maximum', createPolicyKey('ejectionHoldMaximum', ValueTypes.duration(SECOND_MS, HOUR_MS))],
  ['slow-start', createPolicyKey('slowStart', ValueTypes.duration(0, HOUR_MS))],
  ['cold-start', createPolicyKey('coldStart', ValueTypes.duration(0, HOUR_MS))],
  ['probe-interval', createPolicyKey('probeInterval', ValueTypes.duration(500, HOUR_MS))],
  ['deadline', createPolicyKey('deadline', ValueTypes.duration(10, HOUR_MS))],
  ['deadline-maximum', createPolicyKey('deadlineMaximum', ValueTypes.duration(10, HOUR_MS))],
  ['body-limit', createPolicyKey('bodyLimit', ValueTypes.size(0, 1_024 * MEBIBYTE_BYTES))],
  ['retry-budget', createPolicyKey('retryBudget', ValueTypes.percentage(0, 50))],
  ['attempts', createPolicyKey('attempts', ValueTypes.number(1, 10, true))],
  ['priority', createPolicyKey('priority', ValueTypes.choice('critical', 'normal', 'sheddable'))],
  ['idempotence', createPolicyKey('idempotence', ValueTypes.choice('by-method', 'yes', 'no'))],
  ['link-budget', createPolicyKey('linkBudget', ValueTypes.number(0, 100_000))],
  ['key-retention', createPolicyKey('keyRetention', ValueTypes.duration(MINUTE_MS, 24 * HOUR_MS))],
  ['drain-limit', createPolicyKey('drainLimit', ValueTypes.duration(0, HOUR_MS))],
  ['latency-objective', createPolicyKey('latencyObjective', ValueTypes.duration(1, HOUR_MS))],
  ['availability-objective', createPolicyKey('availabilityObjective', ValueTypes.percentage(50, 99.999))]
])
