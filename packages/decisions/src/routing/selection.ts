/** Strategies to choose one of several candidates. docs/load.md has the measurements behind the default. */
import type * as Randoms from '../core/random.js'

export interface Candidate {
  /** (In flight + 1) x latency estimate in ms; lower is better. */
  readonly cost: number
}

export abstract class Selection {
  /** One of the candidates, or undefined if there are none. */
  abstract choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined
}

/** Ignores the cost; the baseline that the other strategies are compared with. */
export class RandomChoice extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    return random.pick(candidates)
  }
}

/**
 * With fewer candidates, the two picks must differ. Equal picks would be so frequent that, of two targets, one that
 * does not respond gets a quarter of the work.
 */
const INDEPENDENT_PICKS_MINIMUM = 4

/**
 * Power of two choices: the cheaper of two random candidates. Among several candidates, both picks may be the same
 * one, so even the most expensive keeps a small share of the work and its estimate stays up to date.
 */
export class TwoChoices extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    const first = random.pick(candidates)
    const rest = candidates.length < INDEPENDENT_PICKS_MINIMUM && candidates.length > 1 ? candidates.filter(option => option !== first) : candidates
    const second = random.pick(rest)
    if (first === undefined || second === undefined) return first
    return second.cost < first.cost ? second : first
  }
}

/**
 * The cheaper of two random candidates that differ. An expensive one is chosen only if both picks are, so a target that
 * became 12 times slower does not get more than it can do; `docs/design/placement-by-cost.md` has the measurements.
 */
export class TwoDifferentChoices extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    if (candidates.length < 2) return candidates[0]
    const first = random.below(candidates.length)
    const [left, right] = [candidates[first], candidates[(first + 1 + random.below(candidates.length - 1)) % candidates.length]]
    return left === undefined || right === undefined || left.cost <= right.cost ? left : right
  }
}

/** The cheapest of all candidates; ties are broken at random. */
export class LowestCost extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    const lowestCost = candidates.reduce((cost, candidate) => Math.min(cost, candidate.cost), Infinity)
    return random.pick(candidates.filter(candidate => candidate.cost === lowestCost))
  }
}
