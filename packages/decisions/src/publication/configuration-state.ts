/** Section `configuration`: the configuration in force on this node. Written by Publication. */
import * as Clock from '../core/clock.js'
import * as DefaultPolicy from '../core/default-policy.js'
import * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'

export class ConfigurationState {
  current: Policies.Configuration = DefaultPolicy.INITIAL_CONFIGURATION
  /**
   * A version came into force, the log showed that there is none, or nobody answered for 3 s.
   * Until then the node takes no requests from callers, because it would treat them by settings that were replaced.
   */
  isInitialized = false
  /** The published text of `current`. */
  text = ''
  /** When `current` came into force on this node. */
  inForceSince: Clock.Milliseconds = Clock.milliseconds(0)
  /** Highest version heard of from the log or any node. */
  highestKnownVersion: Ids.Version = Ids.version(0)
  /** Since when a version higher than `current` is known to exist. */
  newerVersionKnownSince: Clock.Milliseconds | undefined
  /** Nodes of this data center that read the log. */
  logReaders: readonly Ids.NodeId[] = []
  /**
   * Since when the readers of this data center cannot read the log; undefined when they can.
   * Nodes that do not read themselves learn it by gossip, after 5 s at the earliest.
   */
  logUnavailableSince: Clock.Milliseconds | undefined

  /** Policy for a request or, with only a service, for a target. */
  policyFor (subject: Policies.RequestAttributes, now: Clock.Milliseconds): Policies.Policy {
    return Policies.policyFor(this.current, subject, now)
  }
}
