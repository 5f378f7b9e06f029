/** Ways to choose one of several candidates. The figures behind the default are in docs/load.md. */
import type * as Randoms from '../core/random.js'

export interface Candidate {
  /** (In flight + 1) x latency estimate in ms; lower is better. */
  readonly cost: number
}

export abstract class Selection {
  /** One candidate, or undefined when there is none. */
  abstract choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined
}

/** Ignores the cost; the lower bound that the other ways are measured against. */
export class RandomChoice extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    return random.pick(candidates)
  }
}

/** With fewer candidates two equal picks are so frequent that a frozen target of two kept a quarter of the work. */
const INDEPENDENT_MINIMUM = 4

/**
 * The cheaper of two random picks. Among several candidates both picks may be the same one,
 * so even the worst keeps a small share and its estimate stays current.
 */
export class TwoChoices extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    const first = random.pick(candidates)
    const rest = candidates.length < INDEPENDENT_MINIMUM && candidates.length > 1 ? candidates.filter(option => option !== first) : candidates
    const second = random.pick(rest)
    if (first === undefined || second === undefined) return first
    return second.cost < first.cost ? second : first
  }
}

/** The cheapest of all candidates; ties are broken at random. */
export class LowestCost extends Selection {
  choose<Option extends Candidate> (candidates: readonly Option[], random: Randoms.Random): Option | undefined {
    const least = candidates.reduce((lowest, candidate) => Math.min(lowest, candidate.cost), Infinity)
    return random.pick(candidates.filter(candidate => candidate.cost === least))
  }
}
