/** Faults of one target as functions of the time since their onset. */
import type * as Distributions from '../simulation/distribution.js'

/** Outcome of one request. A `lost` request is never answered. */
export interface RequestOutcome {
  readonly kind: 'answered' | 'failed' | 'unreachable' | 'lost'
  /** Factor on the service time. */
  readonly slowness: number
}

export interface Fault {
  readonly name: string
  readonly hard: boolean
  readonly probesFail: boolean
  outcome (sinceStart: number, distribution: Distributions.Distribution): RequestOutcome
}

const HEALTHY: RequestOutcome = { kind: 'answered', slowness: 1 }
const FLAP_MS = 2_000

function slow (factor: number): Fault {
  return { name: `slow ${factor}x`, hard: false, probesFail: false, outcome: () => ({ kind: 'answered', slowness: factor }) }
}

function errors (fraction: number): Fault {
  return {
    name: `errors ${Math.round(100 * fraction)} %`,
    hard: fraction === 1,
    probesFail: false,
    outcome: (_since, distribution) => distribution.fraction() < fraction ? { kind: 'failed', slowness: 1 } : HEALTHY
  }
}

export const FAULTS: readonly Fault[] = [
  slow(3), slow(10), errors(0.2), errors(0.5), errors(1),
  { name: 'refuses connections', hard: true, probesFail: true, outcome: () => ({ kind: 'unreachable', slowness: 1 }) },
  { name: 'hangs', hard: true, probesFail: true, outcome: () => ({ kind: 'lost', slowness: 1 }) },
  { name: 'hangs, answers probes', hard: true, probesFail: false, outcome: () => ({ kind: 'lost', slowness: 1 }) },
  {
    name: 'flaps every 2 s',
    hard: false,
    probesFail: false,
    outcome: since => Math.floor(since / FLAP_MS) % 2 === 0 ? { kind: 'failed', slowness: 1 } : HEALTHY
  }
]

/** Must not lead to an ejection. */
export const PROBES_ONLY: Fault = { name: 'fails probes only', hard: false, probesFail: true, outcome: () => HEALTHY }
