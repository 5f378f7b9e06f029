/** Log-likelihood ratios of one observation: unhealthy against healthy as the baseline describes it. */
import type * as Events from '../core/event.js'
import * as Gaussian from './gaussian.js'

/** The smallest slowness that the goals name: three-fold. */
export const SLOWNESS_SHIFT = Math.log(3)
/** Fraction of healthy outcomes that a failing target turns into errors, at least. */
const FAILING_FRACTION = 0.25
/** Timer resolution and connection effects spread even constant service times. */
const DEVIATION_MINIMUM = 0.2
const ERROR_RATE_MINIMUM = 0.001
const ERROR_RATE_MAXIMUM = 0.95
/**
 * Largest contribution of one request in nats. At 5 requests/s the third arrival has p99 1.7 s and the
 * fourth 2.0 s, so three failures must be enough for an ejection evidence of 14 within 2 s.
 */
export const LARGEST_INCREMENT = 5
/** One fast answer must not erase more than one moderately slow one has shown. */
const SMALLEST_INCREMENT = -3

function clip (increment: number): number {
  return Math.min(LARGEST_INCREMENT, Math.max(SMALLEST_INCREMENT, increment))
}

interface Normal {
  readonly mean: number
  readonly deviation: number
}

/** The mean of few samples is itself uncertain, which widens the distribution of the next one. */
function healthyLatency (reference: Events.Baseline): Normal {
  const deviation = Math.max(reference.deviation, DEVIATION_MINIMUM) * Math.sqrt(1 + 1 / reference.samples)
  return { mean: reference.meanLogLatency, deviation }
}

function errorRates (reference: Events.Baseline | undefined): readonly [healthy: number, failing: number] {
  const healthy = Math.min(ERROR_RATE_MAXIMUM, Math.max(ERROR_RATE_MINIMUM, reference?.errorRate ?? 0))
  return [healthy, healthy + FAILING_FRACTION * (1 - healthy)]
}

/** Gaussian ratio of an answer after `elapsed` ms. */
export function slowAnswer (elapsed: number, reference: Events.Baseline): number {
  const { mean, deviation } = healthyLatency(reference)
  const excess = Math.log(Math.max(elapsed, 1)) - mean - SLOWNESS_SHIFT / 2
  return clip(SLOWNESS_SHIFT * excess / (deviation * deviation))
}

/** Survival ratio of a request that is still in flight after `elapsed` ms; never negative. */
export function slowWait (elapsed: number, reference: Events.Baseline): number {
  const { mean, deviation } = healthyLatency(reference)
  const distance = (Math.log(Math.max(elapsed, 1)) - mean) / deviation
  const healthy = Gaussian.upperTail(distance)
  if (healthy < Number.MIN_VALUE * 2) return LARGEST_INCREMENT
  return clip(Math.log(Gaussian.upperTail(distance - SLOWNESS_SHIFT / deviation) / healthy))
}

/** Bernoulli ratio of an error. */
export function failure (reference: Events.Baseline | undefined): number {
  const [healthy, failing] = errorRates(reference)
  return clip(Math.log(failing / healthy))
}

/** Bernoulli ratio of an answer without error. */
export function success (reference: Events.Baseline | undefined): number {
  const [healthy, failing] = errorRates(reference)
  return clip(Math.log((1 - failing) / (1 - healthy)))
}

/** Ratio of a request that may never be answered: it failed silently, or it is one of the slow healthy ones. */
export function lostWait (elapsed: number, reference: Events.Baseline): number {
  const { mean, deviation } = healthyLatency(reference)
  const [healthyRate, failingRate] = errorRates(reference)
  const slow = Gaussian.upperTail((Math.log(Math.max(elapsed, 1)) - mean) / deviation)
  const healthy = healthyRate + (1 - healthyRate) * slow
  return clip(Math.log((failingRate + (1 - failingRate) * slow) / healthy))
}
