/**
 * Recent work of flows (routes, client accounts), by which a queue shares a target fairly: the flow with the least goes
 * first, so that each gets its share while it has requests and unused room goes to the others.
 *
 * Load pattern: one of 79 accounts sends five times as much as usual; a route with long requests beside one with short ones.
 */
import type * as Decisions from '@jasminedale/decisions'

/** Time constant with which work is forgotten, so that the use of idle room is not held against a flow for long. */
const DECAY_MS = 1_500
/** Exponent at which values are rescaled, well within the range of numbers. */
const RESCALE_EXPONENT = 60
/** Flows beyond this number are forgotten, those without recent work first. */
const FLOWS_MAXIMUM = 2_048
/** Work in ms below which a flow counts as new. */
const NEGLIGIBLE_WORK_MS = 1

export interface Flow {
  /** Work started, each part weighted by exp(time / DECAY_MS): the order of two flows changes only when one gets work. */
  weighted: number
  /** Work in ms of the flow that waits. */
  pending: number
}

export class RecentWork {
  private readonly flows = new Map<string, Flow>()
  private origin: number | undefined
  /** Flows without recent work count as having this much, so that one that was idle does not lock the others out. */
  private floor = 0

  /** Weight of work that starts now. */
  weight (now: Decisions.Clock.Milliseconds): number {
    this.origin ??= now
    if ((now - this.origin) / DECAY_MS > RESCALE_EXPONENT) this.rescale(now)
    return Math.exp((now - this.origin) / DECAY_MS)
  }

  /** The flow of that name, created if there is none. */
  of (name: string, now: Decisions.Clock.Milliseconds): Flow {
    const existing = this.flows.get(name)
    if (existing !== undefined) return existing
    if (this.flows.size >= FLOWS_MAXIMUM) this.makeRoom(now)
    const created = { weighted: 0, pending: 0 }
    this.flows.set(name, created)
    return created
  }

  /** Weighted work of a flow, for comparison with others. */
  rank (flow: Flow): number {
    return Math.max(flow.weighted, this.floor)
  }

  /** Adds work in ms that starts now. */
  charge (flow: Flow, work: number, now: Decisions.Clock.Milliseconds): void {
    const weight = this.weight(now)
    flow.weighted = this.rank(flow) + work * weight
  }

  /** Raises the floor to the least rank of the flows that wait. */
  raiseFloor (leastRank: number): void {
    if (leastRank > this.floor && Number.isFinite(leastRank)) this.floor = leastRank
  }

  get size (): number {
    return this.flows.size
  }

  private rescale (now: Decisions.Clock.Milliseconds): void {
    const factor = Math.exp(((this.origin ?? now) - now) / DECAY_MS)
    this.origin = now
    this.floor *= factor
    for (const [name, flow] of this.flows) {
      flow.weighted *= factor
      if (flow.weighted < NEGLIGIBLE_WORK_MS && flow.pending === 0) this.flows.delete(name)
    }
  }

  private makeRoom (now: Decisions.Clock.Milliseconds): void {
    this.rescale(now)
    for (const [name, flow] of this.flows) {
      if (this.flows.size < FLOWS_MAXIMUM) return
      if (flow.pending === 0) this.flows.delete(name)
    }
  }
}
