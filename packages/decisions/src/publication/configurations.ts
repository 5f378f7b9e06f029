/** Section `configuration`: the configuration in force on this node. Written by Publication. */
import type * as Clock from '../core/clock.js'
import * as DefaultPolicy from '../core/default-policy.js'
import * as Policies from '../core/policy.js'

export class Configurations {
  current: Policies.Configuration = DefaultPolicy.INITIAL_CONFIGURATION

  /** Policy for a request or, with only a service, for a target. */
  policyFor (subject: Policies.Subject, now: Clock.Milliseconds): Policies.Policy {
    return Policies.policyFor(this.current, subject, now)
  }
}
