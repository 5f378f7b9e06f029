/** The normal distribution's upper tail. */

const SERIES = [-1.26551223, 1.00002368, 0.37409196, 0.09678418, -0.18628806, 0.27886807, -1.13520398, 1.48851587, -0.82215223, 0.17087277]

/**
 * Probability that a standard normal variable exceeds `deviations`. Chebyshev fit of erfc with a relative
 * error below 1.2e-7 everywhere, which the ratio of two small tails needs.
 */
export function upperTail (deviations: number): number {
  const distance = Math.abs(deviations) / Math.SQRT2
  const step = 1 / (1 + distance / 2)
  const exponent = SERIES.reduceRight((sum, coefficient) => sum * step + coefficient, 0)
  const tail = step * Math.exp(exponent - distance * distance) / 2
  return deviations >= 0 ? tail : 1 - tail
}
