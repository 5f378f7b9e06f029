/**
 * Selects the relay of a group of nodes: the node that reads the shared log for the others, so that the calls to the log
 * do not grow with the number of nodes. Nothing is agreed on: each node decides from what it hears, so two relays, or
 * none for a moment, are possible and only cost calls to the log.
 *
 * Load pattern: hundreds of nodes that wait for the same few changes.
 */
import * as Decisions from '@jasminedale/decisions'
import type * as SharedLogs from './shared-log.js'

/** A node that is alone in its data center reads the log itself. */
const GROUP_MINIMUM = 2
/** Data centers with twice this number of nodes are divided into groups, which bounds the work of a relay. */
const GROUP_SIZE = 32
/** Time since the last contact of a relay with the log after which its group no longer relies on it. */
export const CONTACT_AGE_MAXIMUM = Decisions.Clock.milliseconds(1_500)
/** Time by which a node waits longer for a relay than the node before it in the group, in which an announcement arrives. */
const STAGGER = Decisions.Clock.milliseconds(50)
/** Time for which a relay that cannot be called is passed over. */
const SUSPICION_DURATION = Decisions.Clock.seconds(10)

/** Position after the last record that a node has read, by topic. */
export type Positions = Readonly<Record<SharedLogs.Topic, SharedLogs.Position>>

export interface Relay {
  readonly host: Decisions.Ids.Endpoint
  readonly positions: Positions
  /** When the relay was last in contact with the log. */
  readonly contactAt: Decisions.Clock.Milliseconds
}

/** The nodes that share one relay with `own`, in the order in which they become the relay; empty if there are too few. */
export function groupOf (own: Decisions.Ids.Endpoint, hosts: readonly Decisions.Ids.Endpoint[]): readonly Decisions.Ids.Endpoint[] {
  if (hosts.length < GROUP_MINIMUM) return []
  // A power of two, so that most nodes keep their group when the number of nodes changes.
  const groups = 2 ** Math.max(0, Math.floor(Math.log2(hosts.length / GROUP_SIZE)))
  const group = Decisions.Rendezvous.hash(own) % groups
  return Decisions.Rendezvous.rank('relay', hosts.filter(host => Decisions.Rendezvous.hash(host) % groups === group))
}

export class RelaySelector {
  private readonly relays = new Map<Decisions.Ids.Endpoint, Relay>()
  private readonly suspectedUntil = new Map<Decisions.Ids.Endpoint, Decisions.Clock.Milliseconds>()
  /** When this node first looked for a relay. */
  private waitingSince: Decisions.Clock.Milliseconds | undefined
  private isActing = false

  constructor (private readonly own: Decisions.Ids.Endpoint) {}

  /** What a relay has last announced. */
  lastAnnouncement (host: Decisions.Ids.Endpoint): Relay | undefined {
    return this.relays.get(host)
  }

  /** Records what a relay has announced. */
  recordAnnouncement (relay: Relay): void {
    this.relays.set(relay.host, relay)
    this.suspectedUntil.delete(relay.host)
  }

  /** Records that a relay could not be called. */
  recordFailure (host: Decisions.Ids.Endpoint, now: Decisions.Clock.Milliseconds): void {
    this.relays.delete(host)
    this.suspectedUntil.set(host, Decisions.Clock.add(now, SUSPICION_DURATION))
  }

  /** The first other node of the group that acts as relay and is in contact with the log. */
  activeRelay (group: readonly Decisions.Ids.Endpoint[], now: Decisions.Clock.Milliseconds): Relay | undefined {
    for (const host of group) {
      const relay = this.relays.get(host)
      if (relay !== undefined && host !== this.own && now - relay.contactAt <= CONTACT_AGE_MAXIMUM) return relay
    }
    return undefined
  }

  /**
   * Whether this node is to act as relay: it is the first of the group, or no relay has been in contact with the log for
   * too long. Each node waits a little longer than those before it, since only those that the log answers can act as
   * relay, and all others would be waited for in vain. A relay goes on until one before it is active, so that the group
   * always has one when a node joins.
   */
  isRelay (group: readonly Decisions.Ids.Endpoint[], now: Decisions.Clock.Milliseconds): boolean {
    const position = group.indexOf(this.own)
    const isFirst = position >= 0 && group.slice(0, position).every(host => this.isSuspected(host, now))
    const isNext = position >= 0 && now - this.lastContactAt(group, now) > CONTACT_AGE_MAXIMUM + position * STAGGER
    this.isActing = isFirst || isNext || (position >= 0 && this.isActing && this.activeRelay(group.slice(0, position), now) === undefined)
    return this.isActing
  }

  /** Whether a node could not be called, and has not announced itself since. */
  private isSuspected (host: Decisions.Ids.Endpoint, now: Decisions.Clock.Milliseconds): boolean {
    return (this.suspectedUntil.get(host) ?? 0) > now
  }

  /** When another relay of the group was last in contact with the log; at the earliest when this node began to wait for one. */
  private lastContactAt (group: readonly Decisions.Ids.Endpoint[], now: Decisions.Clock.Milliseconds): number {
    this.waitingSince ??= now
    return Math.max(this.waitingSince, ...group.map(host => host === this.own ? -Infinity : this.relays.get(host)?.contactAt ?? -Infinity))
  }
}
