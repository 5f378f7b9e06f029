/** Signs that this node, not its targets, is unhealthy. */
import type * as Clock from '../core/clock.js'

/** Ticks come every 100 ms; a gap of three shows that the process was paused or overloaded. */
const STALL_MILLISECONDS = 300
/** With fewer targets at work, a majority of suspects is no sign of a common cause. */
const TARGETS_MINIMUM = 4

export class Observer {
  private lastStep: Clock.Milliseconds | undefined

  /** Reports any event. Returns true when the node was stalled since the one before. */
  stalled (now: Clock.Milliseconds): boolean {
    const gap = this.lastStep === undefined ? 0 : now - this.lastStep
    this.lastStep = now
    return gap >= STALL_MILLISECONDS
  }
}

/** Whether so many of the targets at work are suspect that the cause is more likely on this VM. */
export function hasCommonCause (working: number, suspect: number): boolean {
  return working >= TARGETS_MINIMUM && suspect * 2 > working
}
