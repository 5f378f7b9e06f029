/** The cost and load of targets as this entry sees them, within the capacity floor. */
import type * as Controllers from '../core/controller.js'
import type * as Targets from '../membership/targets.js'

/** A target with what the choice needs. */
export interface Option {
  readonly target: Targets.Target
  /** (In flight + 1) x latency estimate in ms. */
  readonly cost: number
  /** Estimated fraction of the target's capacity in use; above 1 when work waits. */
  readonly load: number
}

/** Ratio to the median latency from which a target is softly excluded: two choices then almost never take it. */
const SUSPICION_RATIO = 3
/** Latency in ms assumed while no target of the service has answered. */
const LATENCY_DEFAULT = 10
/** Keeps the cost positive, so that requests in flight count even at latency 0. */
const LATENCY_MINIMUM = 0.1
const LOAD_MAXIMUM = 1.5
/** Smallest share of a full weight that a target gets while it starts cold. */
const COLD_WEIGHT_MINIMUM = 0.1

/**
 * Options for targets of one distance. At most `1 - floor` of them keep a latency far above
 * the median, so that slowness seen by this node alone never takes more capacity out of use.
 */
export function options (targets: readonly Targets.Target[], floor: number, turn: Controllers.Turn): readonly Option[] {
  const latencies = boundedLatencies(targets, floor, turn)
  const { estimates } = turn.board.requests
  return targets.map((target, index) => ({
    target,
    cost: (estimates.inFlight(target.target) + 1) * (latencies[index] ?? LATENCY_DEFAULT) / warmth(target, turn),
    load: load(target, turn)
  }))
}

function boundedLatencies (targets: readonly Targets.Target[], floor: number, turn: Controllers.Turn): readonly number[] {
  const { estimates } = turn.board.requests
  const known = targets.flatMap(target => estimates.latency(target.target, turn.now) ?? [])
  const median = Math.max(LATENCY_MINIMUM, middle(known) ?? LATENCY_DEFAULT)
  const latencies = targets.map(target => Math.max(LATENCY_MINIMUM, estimates.latency(target.target, turn.now, median) ?? median))
  const excludable = Math.floor((1 - floor) * targets.length + Number.EPSILON)
  const worst = new Set([...latencies.keys()].sort((left, right) => (latencies[right] ?? 0) - (latencies[left] ?? 0)).slice(0, excludable))
  return latencies.map((latency, index) => worst.has(index) ? latency : Math.min(latency, SUSPICION_RATIO * median))
}

function middle (values: readonly number[]): number | undefined {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]
}

/** Weight of a target that was announced recently, rising to 1 over the cold start. */
function warmth (target: Targets.Target, turn: Controllers.Turn): number {
  const policy = turn.board.configuration.policyFor({ service: target.service }, turn.now)
  if (policy.coldStart <= 0) return 1
  const age = (turn.now - target.announcedAt) / policy.coldStart
  return Math.min(1, Math.max(COLD_WEIGHT_MINIMUM, age))
}

/**
 * Exact for this node's own targets. Hosts do not spread their load, so for others it is the highest of what
 * this node has in flight there, the wait in their queue, and a recent refusal as overloaded.
 */
function load (target: Targets.Target, turn: Controllers.Turn): number {
  const { limits, requests: { estimates } } = turn.board
  const own = limits.byTarget.get(target.target)
  if (own !== undefined) return Math.min(LOAD_MAXIMUM, (own.running + own.queued) / Math.max(1, own.limit))
  if (estimates.isBusy(target.target, turn.now)) return LOAD_MAXIMUM
  const inFlight = estimates.inFlight(target.target) / Math.max(1, target.slots)
  return Math.min(LOAD_MAXIMUM, Math.max(inFlight, estimates.load(target.target, target.slots, turn.now)))
}
