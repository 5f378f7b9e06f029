/**
 * Targets and nodes that get no work for a limited time, because the host refused work for the target or because the
 * target or its host could not be reached. Slow responses and errors do not put a target here; they raise its cost.
 */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'

interface AvoidedTarget {
  readonly until: Clock.Milliseconds
  /** Incarnation that is avoided; a restarted target has another one and gets work. */
  readonly incarnation: Ids.Incarnation | undefined
}

export class Avoidance {
  private readonly targets = new Map<Ids.TargetId, AvoidedTarget>()
  private readonly nodes = new Map<Ids.NodeId, Clock.Milliseconds>()

  avoidTarget (target: Ids.TargetId, incarnation: Ids.Incarnation | undefined, until: Clock.Milliseconds): void {
    this.targets.set(target, { until, incarnation })
  }

  avoidNode (node: Ids.NodeId, until: Clock.Milliseconds): void {
    this.nodes.set(node, until)
  }

  /** Ends the avoidance of a target and a node, because a response arrived from them. */
  clear (target: Ids.TargetId | undefined, node: Ids.NodeId): void {
    if (target !== undefined) this.targets.delete(target)
    this.nodes.delete(node)
  }

  isAvoided (target: Targets.Target, now: Clock.Milliseconds): boolean {
    const node = this.nodes.get(target.host)
    if (node !== undefined && node > now) return true
    const mark = this.targets.get(target.target)
    return mark !== undefined && mark.until > now && mark.incarnation === target.incarnation
  }

  prune (now: Clock.Milliseconds): void {
    for (const [target, mark] of this.targets) if (mark.until <= now) this.targets.delete(target)
    for (const [node, until] of this.nodes) if (until <= now) this.nodes.delete(node)
  }
}
