/**
 * Log-likelihood ratios, in nats, of one observation under the hypotheses that the target is unhealthy or healthy.
 * Positive values are evidence that it is unhealthy. The baseline gives the distribution of a healthy target.
 */
import type * as Events from '../core/event.js'
import * as Gaussian from './gaussian.js'

/** Shift of the mean log latency of an unhealthy target: three-fold slowness, the smallest that has to be detected. */
export const SLOWNESS_LOG_SHIFT = Math.log(3)
/** Smallest fraction of successful outcomes that an unhealthy target turns into errors. */
const FAILING_FRACTION = 0.25
/** Smallest standard deviation of log latency. Timer resolution and connection effects spread even constant service times. */
const DEVIATION_MINIMUM = 0.2
const ERROR_RATE_MINIMUM = 0.001
const ERROR_RATE_MAXIMUM = 0.95
/**
 * Largest contribution of one request. At 5 requests/s the 99th percentile of the third arrival is 1.7 s and of the
 * fourth 2.0 s, so three failures must be enough to reach an ejection evidence of 14 within 2 s.
 */
export const INCREMENT_MAXIMUM_NATS = 5
/** Smallest contribution. One fast answer must not cancel more evidence than one moderately slow answer adds. */
const INCREMENT_MINIMUM_NATS = -3

function clip (increment: number): number {
  return Math.min(INCREMENT_MAXIMUM_NATS, Math.max(INCREMENT_MINIMUM_NATS, increment))
}

interface NormalDistribution {
  readonly mean: number
  readonly deviation: number
}

/** Predictive distribution of the log latency; it widens with few samples, because their mean is uncertain. */
function healthyLogLatency (baseline: Events.Baseline): NormalDistribution {
  const deviation = Math.max(baseline.deviation, DEVIATION_MINIMUM) * Math.sqrt(1 + 1 / baseline.samples)
  return { mean: baseline.meanLogLatency, deviation }
}

function errorRates (baseline: Events.Baseline | undefined): readonly [healthy: number, unhealthy: number] {
  const healthy = Math.min(ERROR_RATE_MAXIMUM, Math.max(ERROR_RATE_MINIMUM, baseline?.errorRate ?? 0))
  return [healthy, healthy + FAILING_FRACTION * (1 - healthy)]
}

/** Ratio of normal densities for an answer after `elapsed` ms. */
export function ofAnswerLatency (elapsed: number, baseline: Events.Baseline): number {
  const { mean, deviation } = healthyLogLatency(baseline)
  const excess = Math.log(Math.max(elapsed, 1)) - mean - SLOWNESS_LOG_SHIFT / 2
  return clip(SLOWNESS_LOG_SHIFT * excess / (deviation * deviation))
}

/** Ratio of survival functions for a request that is still in flight after `elapsed` ms; never negative. */
export function ofWaitingLatency (elapsed: number, baseline: Events.Baseline): number {
  const { mean, deviation } = healthyLogLatency(baseline)
  const standardScore = (Math.log(Math.max(elapsed, 1)) - mean) / deviation
  const healthy = Gaussian.upperTail(standardScore)
  // For very long waits both tails can underflow to zero, which leaves their ratio undefined.
  if (healthy < Number.MIN_VALUE * 2) return INCREMENT_MAXIMUM_NATS
  return clip(Math.log(Gaussian.upperTail(standardScore - SLOWNESS_LOG_SHIFT / deviation) / healthy))
}

/** Bernoulli likelihood ratio of an error. */
export function ofError (baseline: Events.Baseline | undefined): number {
  const [healthy, unhealthy] = errorRates(baseline)
  return clip(Math.log(unhealthy / healthy))
}

/** Bernoulli likelihood ratio of an answer without error. */
export function ofSuccess (baseline: Events.Baseline | undefined): number {
  const [healthy, unhealthy] = errorRates(baseline)
  return clip(Math.log((1 - unhealthy) / (1 - healthy)))
}

/** Ratio for a request without response after `elapsed` ms, which either failed silently or is a slow one on a healthy target. */
export function ofLostRequest (elapsed: number, baseline: Events.Baseline): number {
  const { mean, deviation } = healthyLogLatency(baseline)
  const [healthyRate, unhealthyRate] = errorRates(baseline)
  const slowTail = Gaussian.upperTail((Math.log(Math.max(elapsed, 1)) - mean) / deviation)
  const healthy = healthyRate + (1 - healthyRate) * slowTail
  return clip(Math.log((unhealthyRate + (1 - unhealthyRate) * slowTail) / healthy))
}
