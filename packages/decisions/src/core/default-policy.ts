/** Built-in defaults, in force until a configuration is published. */
import * as Clock from './clock.js'
import * as Ids from './ids.js'
import type * as Policies from './policy.js'

const BYTES_PER_MEBIBYTE = 1_048_576

export const DEFAULT_POLICY: Policies.Policy = {
  capacityFloor: 0.7,
  ejectionEvidence: 14,
  ejectionHold: Clock.seconds(5),
  ejectionHoldMaximum: Clock.minutes(5),
  slowStart: Clock.seconds(10),
  coldStart: Clock.seconds(10),
  probeInterval: Clock.seconds(5),
  deadline: Clock.seconds(10),
  deadlineMaximum: Clock.minutes(1),
  bodyLimit: BYTES_PER_MEBIBYTE,
  retryBudget: 0.1,
  attempts: 3,
  priority: 'normal',
  idempotence: 'by-method',
  linkBudget: 10,
  keyRetention: Clock.hours(1),
  drainLimit: Clock.seconds(30),
  latencyObjective: Clock.milliseconds(500),
  availabilityObjective: 0.999
}

/** Configuration of a node that has not yet learned a published one. */
export const INITIAL_CONFIGURATION: Policies.Configuration = {
  version: Ids.version(0),
  publication: 'built-in',
  defaults: DEFAULT_POLICY,
  exceptions: []
}
