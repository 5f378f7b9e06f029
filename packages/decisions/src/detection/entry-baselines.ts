/** Baselines that entries sent to a host for one of its targets, and their median. */
import type * as Clock from '../core/clock.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'

/** More entries do not change the median noticeably; the oldest baseline is dropped. */
const ENTRIES_MAXIMUM = 15
/** Must exceed the gaps between requests from a few entries at one request a minute. */
const LIFETIME_MILLISECONDS = 600_000
/** Fewer samples give no usable standard deviation. */
const MINIMUM_SAMPLES = 8

interface ReceivedBaseline {
  readonly baseline: Events.Baseline
  readonly at: Clock.Milliseconds
}

/** Uses the median over nodes, so that a single unhealthy entry cannot shift the baseline. */
export class EntryBaselines {
  private readonly byNode = new Map<Ids.NodeId, ReceivedBaseline>()
  private currentMedian: Events.Baseline | undefined

  add (node: Ids.NodeId, baseline: Events.Baseline, now: Clock.Milliseconds): void {
    if (baseline.samples < MINIMUM_SAMPLES) return
    this.byNode.delete(node)
    this.byNode.set(node, { baseline, at: now })
    for (const [other, { at }] of this.byNode) {
      if (this.byNode.size > ENTRIES_MAXIMUM || now - at > LIFETIME_MILLISECONDS) this.byNode.delete(other)
    }
    this.currentMedian = medianOf([...this.byNode.values()].map(received => received.baseline))
  }

  /** Medians of each value. Undefined until a baseline with enough samples has arrived. */
  median (): Events.Baseline | undefined {
    return this.currentMedian
  }
}

function medianOf (baselines: readonly Events.Baseline[]): Events.Baseline {
  return {
    meanLogLatency: medianNumber(baselines.map(baseline => baseline.meanLogLatency)),
    deviation: medianNumber(baselines.map(baseline => baseline.deviation)),
    errorRate: medianNumber(baselines.map(baseline => baseline.errorRate)),
    samples: medianNumber(baselines.map(baseline => baseline.samples))
  }
}

function medianNumber (values: number[]): number {
  values.sort((left, right) => left - right)
  const half = values.length / 2
  const upper = values[Math.floor(half)] ?? 0
  return Number.isInteger(half) ? (upper + (values[half - 1] ?? upper)) / 2 : upper
}
