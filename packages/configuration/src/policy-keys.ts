/** The keys that defaults and exceptions may set, with their checks. */
import type * as Decisions from '@jasminedale/decisions'
import * as Values from './value.js'

type PolicyName = keyof Decisions.Policies.Policy
type PolicyValue<Name extends PolicyName> = Values.Value<Decisions.Policies.Policy[Name]>

export interface PolicyKey {
  readonly name: PolicyName
  readonly value: Values.Value<Decisions.Policies.Policy[PolicyName]>
}

const SECOND = 1_000
const MINUTE = 60_000
const HOUR = 3_600_000
const MEBIBYTE = 1_048_576

function key<Name extends PolicyName> (name: Name, value: PolicyValue<Name>): PolicyKey {
  return { name, value }
}

/** INI key to policy field. */
export const POLICY_KEYS: ReadonlyMap<string, PolicyKey> = new Map([
  ['capacity-floor', key('capacityFloor', Values.percentage(0, 100))],
  ['ejection-evidence', key('ejectionEvidence', Values.number(3, 100))],
  ['ejection-hold', key('ejectionHold', Values.duration(SECOND, HOUR))],
  ['ejection-hold-maximum', key('ejectionHoldMaximum', Values.duration(SECOND, HOUR))],
  ['slow-start', key('slowStart', Values.duration(0, HOUR))],
  ['cold-start', key('coldStart', Values.duration(0, HOUR))],
  ['probe-interval', key('probeInterval', Values.duration(500, HOUR))],
  ['deadline', key('deadline', Values.duration(10, HOUR))],
  ['deadline-maximum', key('deadlineMaximum', Values.duration(10, HOUR))],
  ['body-limit', key('bodyLimit', Values.size(0, 1_024 * MEBIBYTE))],
  ['retry-budget', key('retryBudget', Values.percentage(0, 50))],
  ['attempts', key('attempts', Values.number(1, 10, true))],
  ['priority', key('priority', Values.choice('critical', 'normal', 'sheddable'))],
  ['idempotence', key('idempotence', Values.choice('by-method', 'yes', 'no'))],
  ['link-budget', key('linkBudget', Values.number(0, 100_000))],
  ['key-retention', key('keyRetention', Values.duration(MINUTE, 24 * HOUR))],
  ['drain-limit', key('drainLimit', Values.duration(0, HOUR))],
  ['latency-objective', key('latencyObjective', Values.duration(1, HOUR))],
  ['availability-objective', key('availabilityObjective', Values.percentage(50, 99.999))]
])
