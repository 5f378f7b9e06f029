/** How many promises an ejection needs. */

/** Products such as 0.7 x 10 are not exact; the result must not rise by one for that. */
const ROUNDING = 1e-9

/** Targets that have to stay in service out of `count`. */
export function needed (floor: number, count: number): number {
  return Math.ceil(floor * count - ROUNDING)
}
