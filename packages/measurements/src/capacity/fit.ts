/** Least-squares line through measured points. */

export interface Point { readonly size: number, readonly value: number }

export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Coefficient of determination; 1 is a perfect line. */
  readonly rSquared: number
}

export function fit (points: readonly Point[]): Line {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanSize = mean(points.map(point => point.size))
  const meanValue = mean(points.map(point => point.value))
  const covariance = mean(points.map(point => (point.size - meanSize) * (point.value - meanValue)))
  const variance = mean(points.map(point => (point.size - meanSize) ** 2))
  const spread = mean(points.map(point => (point.value - meanValue) ** 2))
  const slope = covariance / variance
  return { intercept: meanValue - slope * meanSize, slope, rSquared: spread === 0 ? 1 : covariance ** 2 / (variance * spread) }
}
