/**
 * Targets and nodes that get no work for a time because their host said so or could
 * not be reached. These are statements of fact, not suspicions: slowness and errors
 * only raise a target's cost.
 */
import type * as Clock from '../core/clock.js'
import type * as Ids from '../core/ids.js'
import type * as Targets from '../membership/targets.js'

interface Mark {
  readonly until: Clock.Milliseconds
  /** A restarted target is no longer avoided. */
  readonly incarnation: Ids.Incarnation | undefined
}

export class Avoidance {
  private readonly targets = new Map<Ids.TargetId, Mark>()
  private readonly nodes = new Map<Ids.NodeId, Clock.Milliseconds>()

  avoidTarget (target: Ids.TargetId, incarnation: Ids.Incarnation | undefined, until: Clock.Milliseconds): void {
    this.targets.set(target, { until, incarnation })
  }

  avoidNode (node: Ids.NodeId, until: Clock.Milliseconds): void {
    this.nodes.set(node, until)
  }

  /** A response from the target or through the node proves the marks outdated. */
  clear (target: Ids.TargetId | undefined, node: Ids.NodeId): void {
    if (target !== undefined) this.targets.delete(target)
    this.nodes.delete(node)
  }

  avoids (target: Targets.Target, now: Clock.Milliseconds): boolean {
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
