/** Combines the admission fractions that the hosts of a called service have reported. */
import * as AdmissionFractions from './admission-fraction.js'

/** Reports older than this are ignored. */
const REPORT_LIFETIME_MS = 3_000
/** Age of the newest report from which the fraction rises to 1. A sender of two calls a second gets one every 0.5 s. */
const RISE_BEGINS_MS = 1_500
/** Age in ms over which the weight of a report falls to 1/e. */
const WEIGHT_DECAY_MS = 700

export interface FractionReport {
  readonly slots: number
  readonly fraction: number
  /** Milliseconds since it arrived. */
  readonly age: number
}

export interface ServiceFraction {
  /** From `FRACTION_MINIMUM` to 1. */
  readonly fraction: number
  /** Age in ms of the newest report; infinite without one. */
  readonly age: number
}

/** The fraction of calls for which the service has room: a mean weighted by slots and age, which rises to 1 when reports stop. */
export function combine (reports: Iterable<FractionReport>): ServiceFraction {
  let [weights, sum, newest] = [0, 0, Infinity]
  for (const { slots, fraction, age } of reports) {
    if (age > REPORT_LIFETIME_MS) continue
    const weight = slots * Math.exp(-Math.max(0, age) / WEIGHT_DECAY_MS)
    weights += weight
    sum += weight * fraction
    newest = Math.min(newest, age)
  }
  if (weights === 0) return { fraction: 1, age: newest }
  const mean = Math.min(1, Math.max(AdmissionFractions.FRACTION_MINIMUM, sum / weights))
  const trust = Math.min(1, Math.max(0, (REPORT_LIFETIME_MS - newest) / (REPORT_LIFETIME_MS - RISE_BEGINS_MS)))
  return { fraction: 1 - trust * (1 - mean), age: newest }
}
