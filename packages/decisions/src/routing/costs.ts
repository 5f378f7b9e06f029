/** Cost and load of targets as this entry observes them, for target selection. */
import type * as Controllers from '../core/controller.js'
import type * as Targets from '../membership/targets.js'

/** A target with its cost and load. */
export interface TargetCost {
  readonly target: Targets.Target
  /** (In flight + 1) x latency estimate in ms. */
  readonly cost: number
  /** Estimated fraction of the target's capacity in use; above 1 if requests are queued. */
  readonly load: number
}

/**
 * Latencies are capped at this multiple of the median, except for the few targets that may be excluded. Selection by
 * two choices almost never takes a target whose latency is above it.
 */
const LATENCY_RATIO_MAXIMUM = 3
/** Assumed while no target of the service has responded. */
const LATENCY_DEFAULT_MS = 10
/** Keeps the cost positive, so that requests in flight raise it even at a latency of 0. */
const LATENCY_MINIMUM_MS = 0.1
const LOAD_MAXIMUM = 1.5
/** Weight of a target at the beginning of its cold start, as a fraction of its full weight. */
const COLD_WEIGHT_MINIMUM = 0.1

/**
 * Costs of targets at the same distance. Only a fraction `1 - floor` of them may have a latency far above the
 * median; the rest are capped, so that latencies that only this node observes cannot take more capacity out of use.
 */
export function targetCosts (targets: readonly Targets.Target[], floor: number, context: Controllers.StepContext): readonly TargetCost[] {
  const latencies = cappedLatencies(targets, floor, context)
  const { estimates } = context.board.requests
  return targets.map((target, index) => ({
    target,
    cost: (estimates.inFlight(target.target) + 1) * (latencies[index] ?? LATENCY_DEFAULT_MS) / coldStartWeight(target, context),
    load: loadOf(target, context)
  }))
}

function cappedLatencies (targets: readonly Targets.Target[], floor: number, context: Controllers.StepContext): readonly number[] {
  const { estimates } = context.board.requests
  const known = targets.flatMap(target => estimates.latency(target.target, context.now) ?? [])
  const median = Math.max(LATENCY_MINIMUM_MS, medianOf(known) ?? LATENCY_DEFAULT_MS)
  const latencies = targets.map(target => Math.max(LATENCY_MINIMUM_MS, estimates.latency(target.target, context.now, median) ?? median))
  // The epsilon makes up for rounding errors: (1 - 0.9) * 10 is less than 1.
  const uncappedCount = Math.floor((1 - floor) * targets.length + Number.EPSILON)
  const uncapped = new Set([...latencies.keys()].sort((left, right) => (latencies[right] ?? 0) - (latencies[left] ?? 0)).slice(0, uncappedCount))
  return latencies.map((latency, index) => uncapped.has(index) ? latency : Math.min(latency, LATENCY_RATIO_MAXIMUM * median))
}

function medianOf (values: readonly number[]): number | undefined {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]
}

/** Weight of a target by the time since its announcement; rises to 1 during the cold start. */
function coldStartWeight (target: Targets.Target, context: Controllers.StepContext): number {
  const policy = context.board.configuration.policyFor({ service: target.service }, context.now)
  if (policy.coldStart <= 0) return 1
  const coldStartFraction = (context.now - target.announcedAt) / policy.coldStart
  return Math.min(1, Math.max(COLD_WEIGHT_MINIMUM, coldStartFraction))
}

/**
 * Load of a target as a fraction of its capacity. It is exact for this node's own targets. Hosts do not publish
 * their load, so for other targets it is the highest of three estimates: the requests that this node has in flight
 * there, the wait in the host's queue, and the maximum after a recent refusal as overloaded.
 */
function loadOf (target: Targets.Target, context: Controllers.StepContext): number {
  const { limits, requests: { estimates } } = context.board
  const localLimit = limits.byTarget.get(target.target)
  if (localLimit !== undefined) return Math.min(LOAD_MAXIMUM, (localLimit.running + localLimit.queued) / Math.max(1, localLimit.limit))
  if (estimates.isOverloaded(target.target, context.now)) return LOAD_MAXIMUM
  const inFlight = estimates.inFlight(target.target) / Math.max(1, target.slots)
  return Math.min(LOAD_MAXIMUM, Math.max(inFlight, estimates.load(target.target, target.slots, context.now)))
}
