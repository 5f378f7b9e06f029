/** Number of targets that the capacity floor requires. */

/** Floating-point products such as 0.7 x 10 are not exact; a rounding error must not raise the result by one. */
const ROUNDING_TOLERANCE = 1e-9

/** Targets that have to stay in service out of `count`. */
export function requiredTargets (floor: number, count: number): number {
  return Math.ceil(floor * count - ROUNDING_TOLERANCE)
}
