/** Baselines that a host received for one of its targets, and their median. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'

/** More voices than this do not change the median noticeably; the oldest is dropped. */
const NODES_KEPT = 15
/** At one request a minute, baselines from a few entries must outlive the gaps between requests. */
const LIFETIME_MILLISECONDS = 600_000
/** Fewer samples than this give no usable deviation. */
const MINIMUM_SAMPLES = 8

interface Received {
  readonly baseline: Events.Baseline
  readonly at: Clock.Milliseconds
}

/** The median over nodes keeps a single unhealthy entry from moving the reference. */
export class EntryBaselines {
  private readonly byNode = new Map<Ids.NodeId, Received>()
  private currentMedian: Events.Baseline | undefined

  add (node: Ids.NodeId, baseline: Events.Baseline, now: Clock.Milliseconds): void {
    if (baseline.samples < MINIMUM_SAMPLES) return
    this.byNode.delete(node)
    this.byNode.set(node, { baseline, at: now })
    for (const [other, { at }] of this.byNode) {
      if (this.byNode.size > NODES_KEPT || now - at > LIFETIME_MILLISECONDS) this.byNode.delete(other)
    }
    this.currentMedian = medianOf([...this.byNode.values()].map(received => received.baseline))
  }

  /** Undefined until a baseline with enough samples has arrived. */
  median (): Events.Baseline | undefined {
    return this.currentMedian
  }
}

function medianOf (baselines: readonly Events.Baseline[]): Events.Baseline {
  return {
    meanLogLatency: middle(baselines.map(baseline => baseline.meanLogLatency)),
    deviation: middle(baselines.map(baseline => baseline.deviation)),
    errorRate: middle(baselines.map(baseline => baseline.errorRate)),
    samples: middle(baselines.map(baseline => baseline.samples))
  }
}

function middle (values: number[]): number {
  values.sort((left, right) => left - right)
  const half = values.length / 2
  const upper = values[Math.floor(half)] ?? 0
  return Number.isInteger(half) ? (upper + (values[half - 1] ?? upper)) / 2 : upper
}
