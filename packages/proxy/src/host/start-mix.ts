/** Proportion and cost of calls and direct requests among the recent starts from a queue. */

/** About the last twenty starts count, which a narrow service makes in half a second. */
const SMOOTHING_FACTOR = 0.05

export class StartMix {
  private directFraction = 0.5
  private readonly costs = { calls: 0, direct: 0 }

  record (isCall: boolean, cost: number): void {
    this.directFraction += SMOOTHING_FACTOR * ((isCall ? 0 : 1) - this.directFraction)
    const kind = isCall ? 'calls' : 'direct'
    this.costs[kind] += (this.costs[kind] === 0 ? 1 : SMOOTHING_FACTOR) * (cost - this.costs[kind])
  }

  /** Number of requests of the other kind among which `count` of this kind start. */
  othersFor (isCall: boolean, count: number): number {
    return isCall ? count * this.directFraction / (1 - this.directFraction) : count * (1 - this.directFraction) / this.directFraction
  }

  /** Mean cost in ms. */
  costOf (isCall: boolean): number {
    return isCall ? this.costs.calls : this.costs.direct
  }
}
