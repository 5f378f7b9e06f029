/**
 * Expected remaining time of a running request by its age: one that has run far beyond its cost is one of the few that
 * take many times as long, and not about to end.
 *
 * Load pattern: 3 in 100 requests take 7 times as long.
 */

const LONG_SHARE = 0.03
const LONG_FACTOR = 7
/** Steepness of the survival of ordinary requests around their mean; 1 in 20 is still running at 1.5 times the mean. */
const SURVIVAL_EXPONENT = 7
/** Remaining time of an ordinary request beyond its mean, as a fraction of the mean. */
const LEAST_REMAINDER = 0.25

/** Expected remaining time in ms of a request of expected time `cost` that has run for `age`. */
export function remainingWork (cost: number, age: number): number {
  if (cost <= 0) return 0
  const progress = Math.max(0, age) / cost
  const survival = 1 / (1 + progress ** SURVIVAL_EXPONENT)
  const long = LONG_SHARE / (LONG_SHARE + (1 - LONG_SHARE) * survival)
  const ordinaryRest = Math.max(LEAST_REMAINDER, 1 - progress)
  const longRest = Math.max(1, LONG_FACTOR - progress)
  return cost * ((1 - long) * ordinaryRest + long * longRest)
}
