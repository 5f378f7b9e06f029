/**
 * Admits a fraction of requests by error diffusion: what one decision rounds off is carried to the next.
 *
 * Load pattern: many entries that each see a few requests a second of an account. The carry starts at a different place
 * for each entry and account, so that the entries' roundings cancel out.
 */
export class Thinning {
  /** @param carry Rounding carried into the first decision, in [0, 1). */
  constructor (private carry: number) {}

  /** Decides about one request. */
  admits (fraction: number): boolean {
    if (fraction >= 1) return true
    this.carry += fraction
    if (this.carry < 1) return false
    this.carry -= 1
    return true
  }
}
