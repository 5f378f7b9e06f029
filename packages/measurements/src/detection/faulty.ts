/** Measures the detection times of each decider on the same faults. */
import * as Faults from './fault.js'
import * as Services from './service.js'
import * as TargetRuns from './target-run.js'

export interface FaultyOptions {
  readonly seeds: number
  readonly deployment: Services.Deployment
  readonly rate: number
  readonly thresholds: readonly number[]
  readonly faults: readonly Faults.Fault[]
  readonly tick: number
  /** Milliseconds after which a fault counts as undetected. */
  readonly limit: number
}

export interface FaultyRow {
  readonly deployment: string
  readonly ratePerTarget: number
  readonly fault: string
  readonly decider: string
  readonly threshold: number | undefined
  /** Fraction of the runs that ended in an ejection within the limit. */
  readonly detected: number
  /** Percentiles of the time from the onset of the fault to the last dispatch, in ms. Undetected runs count as the limit. */
  readonly p50: number
  readonly p99: number
  readonly harmedMean: number
  readonly harmed99: number
}

const COMPARISON_THRESHOLD = 14

export function faulty (options: FaultyOptions): readonly FaultyRow[] {
  const configurations = [
    { decider: 'consecutive-errors', threshold: undefined },
    { decider: 'outlier-window', threshold: undefined },
    ...options.thresholds.map(threshold => ({ decider: 'sequential-test', threshold }))
  ]
  return options.faults.flatMap(fault => configurations.map(({ decider, threshold }) => row(options, fault, decider, threshold)))
}

function row (options: FaultyOptions, fault: Faults.Fault, decider: string, threshold: number | undefined): FaultyRow {
  const { deployment, rate, limit, seeds, tick } = options
  const create = Services.DECIDERS[decider]
  if (create === undefined) throw new RangeError(`No decider ${decider}.`)
  const results = Array.from({ length: seeds }, (_, seed) => new TargetRuns.TargetRun({
    seed: seed + 1, decider: create, threshold: threshold ?? COMPARISON_THRESHOLD, fault, rate,
    slots: deployment.slots, latency: deployment.latency, limit, tick
  }).run())
  const times = results.map(result => result.lastDispatch)
  const harmed = results.map(result => result.harmed)
  return {
    deployment: deployment.name,
    ratePerTarget: rate,
    fault: fault.name,
    decider,
    threshold,
    detected: results.filter(result => result.detected).length / seeds,
    p50: quantile(times, 0.5),
    p99: quantile(times, 0.99),
    harmedMean: harmed.reduce((sum, count) => sum + count, 0) / seeds,
    harmed99: quantile(harmed, 0.99)
  }
}

/** Smallest value that at least the given fraction of the values does not exceed. */
function quantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return Math.round(sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0)
}
