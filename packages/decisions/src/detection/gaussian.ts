/** Upper tail of the normal distribution. */

const ERFC_COEFFICIENTS = [-1.26551223, 1.00002368, 0.37409196, 0.09678418, -0.18628806, 0.27886807, -1.13520398, 1.48851587, -0.82215223, 0.17087277]

/**
 * Probability that a standard normal variable exceeds `deviations`. Chebyshev approximation of erfc with a relative
 * error below 1.2e-7 everywhere; the ratio of two small tails needs a small relative error.
 */
export function upperTail (deviations: number): number {
  const distance = Math.abs(deviations) / Math.SQRT2
  const reciprocal = 1 / (1 + distance / 2)
  const exponent = ERFC_COEFFICIENTS.reduceRight((sum, coefficient) => sum * reciprocal + coefficient, 0)
  const tail = reciprocal * Math.exp(exponent - distance * distance) / 2
  return deviations >= 0 ? tail : 1 - tail
}
