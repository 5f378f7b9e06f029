/** Blackboard section `configuration`: the configuration in force on this node. Written by Publication. */
import * as Clock from '../core/clock.js'
import * as DefaultPolicy from '../core/default-policy.js'
import * as Ids from '../core/ids.js'
import * as Policies from '../core/policy.js'

export class ConfigurationState {
  current: Policies.Configuration = DefaultPolicy.INITIAL_CONFIGURATION
  /**
   * True once a version is in force, the log has shown that there is none, or neither the log nor a peer has answered
   * for 3 s. Before that the node refuses requests from callers, since it would apply outdated settings to them.
   */
  isInitialized = false
  /** The published text of `current`. */
  text = ''
  /** When `current` came into force on this node. */
  inForceSince: Clock.Milliseconds = Clock.milliseconds(0)
  /** Highest version known from the log or from any node. */
  highestKnownVersion: Ids.Version = Ids.version(0)
  /** Time since which a version newer than `current` is known to exist. */
  newerVersionKnownSince: Clock.Milliseconds | undefined
  /** Nodes of this data center that read the log. */
  logReaders: readonly Ids.NodeId[] = []
  /**
   * Time since which the readers of this data center cannot read the log; undefined when they can.
   * Other nodes learn of an outage by gossip, 5 s after its start at the earliest.
   */
  logUnavailableSince: Clock.Milliseconds | undefined

  /** Policy for a request or, with only a service, for a target. */
  policyFor (subject: Policies.RequestAttributes, now: Clock.Milliseconds): Policies.Policy {
    return Policies.policyFor(this.current, subject, now)
  }
}
