/**
 * Decides at the host of a calling service which requests start, by the room of the services that their routes call.
 * Requests are admitted evenly by error diffusion, without random numbers.
 *
 * Load pattern: each host sees some requests a second, and all hosts together send more calls than a service can take.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as AccountShares from './account-shares.js'
import type * as CallRates from './call-rates.js'
import type * as ServiceFractions from './service-fraction.js'

/** Retry-After in ms while almost all requests are admitted, and what is added while almost none are: a burst lasts some seconds. */
const RETRY_AFTER_MINIMUM_MS = 500
const RETRY_AFTER_RANGE_MS = 2_500
/** Admissions due before the first request: the first of two would be admitted at a fraction of a half. */
const INITIAL_DUE = 0.5
/** Error of sums of shares. */
const ROUNDING = 1e-9
const ROUTES_MAXIMUM = 256

export interface ParentRequest {
  readonly route: string
  readonly account: Decisions.Ids.Account | undefined
}

/** Why a request is refused: the called service with the least room, its fraction, and the age in ms of the newest report. */
export interface ParentRefusal extends ServiceFractions.ServiceFraction {
  readonly service: Decisions.Ids.Service
  readonly retryAfter: number
}

export type FractionSource = (service: Decisions.Ids.Service) => ServiceFractions.ServiceFraction

export class ParentAdmission {
  /** For each thinned route the admissions that are due, from 0 to 1. */
  private readonly due = new Map<string, number>()
  private readonly accounts = new AccountShares.AccountShares()

  constructor (private readonly rates: Pick<CallRates.CallRates, 'callsOf'>) {}

  /** The refusal, or undefined if the request may start. */
  check ({ route, account }: ParentRequest, fractionOf: FractionSource, now: Decisions.Clock.Milliseconds): ParentRefusal | undefined {
    let share = 1
    let bottleneck: (ServiceFractions.ServiceFraction & Pick<ParentRefusal, 'service'>) | undefined
    const calls = this.rates.callsOf(route)
    for (const [service, rate] of calls) {
      const known = fractionOf(service)
      // A route that seldom calls the service would lose more requests than calls that it saves.
      const admitted = 1 - Math.min(1, rate) * (1 - known.fraction)
      if (admitted >= share) continue
      share = admitted
      bottleneck = { service, ...known }
    }
    if (calls.length === 0) return undefined
    // Rates of accounts are learned while nothing is thinned, too.
    const accountShare = this.accounts.fractionOf(account, share, now)
    if (bottleneck === undefined) return undefined
    const due = (this.due.get(route) ?? INITIAL_DUE) + accountShare
    if (!this.due.has(route) && this.due.size >= ROUTES_MAXIMUM) this.due.clear()
    const isDue = due >= 1 - ROUNDING
    this.due.set(route, isDue ? Math.max(0, due - 1) : due)
    return isDue ? undefined : { ...bottleneck, retryAfter: Math.round(RETRY_AFTER_MINIMUM_MS + RETRY_AFTER_RANGE_MS * (1 - bottleneck.fraction)) }
  }
}
