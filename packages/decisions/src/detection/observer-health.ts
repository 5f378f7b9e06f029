/** Checks whether this node, which observes the targets, is itself unhealthy. */
import type * as Clock from '../core/clock.js'

/** Ticks come every 100 ms; a gap of three ticks shows that the process was paused or overloaded. */
const STALL_GAP_MILLISECONDS = 300
/** With fewer active targets, a majority of suspects is no sign of a common cause. */
const ACTIVE_TARGETS_MINIMUM = 4

export class ObserverHealth {
  private lastEventAt: Clock.Milliseconds | undefined

  /** Called for every event. Returns true when the node stalled since the previous one. */
  recordEvent (now: Clock.Milliseconds): boolean {
    const gap = this.lastEventAt === undefined ? 0 : now - this.lastEventAt
    this.lastEventAt = now
    return gap >= STALL_GAP_MILLISECONDS
  }
}

/** Whether so many active targets are suspect that the cause is more likely on this VM. */
export function hasCommonCause (active: number, suspect: number): boolean {
  return active >= ACTIVE_TARGETS_MINIMUM && suspect * 2 > active
}
