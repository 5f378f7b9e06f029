/**
 * Computes at the host of a called service the fraction of the calls that the service could still take. Each call states
 * the fraction by which its sender thins parents, so that the demand without thinning is known, and the fraction that
 * makes the calls fit follows from one division instead of a slow search.
 *
 * Load pattern: calls for up to 1.7 times the slots, in bursts of some seconds, at some to some dozen requests a second
 * and host, together with longer direct requests.
 */
import type * as Decisions from '@jasminedale/decisions'
import * as DecayingRates from './decaying-rate.js'

/** Above 1 a host has room that makes up for another host without. */
export const FRACTION_MAXIMUM = 1.5
/** Some parents are always admitted, whose calls show when there is room again. */
export const FRACTION_MINIMUM = 0.05
/** Share of the slots that direct requests keep while they ask for it. */
const DIRECT_SHARE = 0.2
/** Share of the slots that calls are to use; a queue without limit would form at 1. */
const UTILIZATION = 0.95
/** Waiting time of calls, in ms of all slots, that does not lower the fraction: calls arrive at random. */
const BACKLOG_ALLOWED_MS = 150
/** Time in ms in which a longer queue of calls is to be worked off. Calls wait up to 2 s. */
const BACKLOG_DRAIN_MS = 1_000
/** Least share of the slots that calls are offered behind a long queue. */
const ROOM_MINIMUM = 0.1
/** Least time in ms over which arrivals are averaged: shorter than the bursts, several times the interval of arrivals. */
const AVERAGING_MINIMUM_MS = 400
const AVERAGING_MAXIMUM_MS = 2_000
/** Arrivals over which to average within these bounds; the deviation of Poisson arrivals is a fifth then. */
const AVERAGED_ARRIVALS = 12
/** Time constant in ms of the rate of arrivals that sets the averaging time. */
const ARRIVALS_MEMORY_MS = 3_000
/** Time in ms over which the work of direct requests is averaged; they are fewer and longer. */
const DIRECT_AVERAGING_MS = 2_000
/** A call that is refused as too late is offered to up to eight hosts, so that each would count it again. */
const REFUSED_CALL_WEIGHT = 0.25
/** A direct request that is refused as too late is offered to two hosts. */
const REFUSED_DIRECT_WEIGHT = 0.5
/** Weight of one run in the mean cost. 3 in 100 runs take 7 times as long. */
const COST_SMOOTHING = 0.05
const INITIAL_COST_MS = 150
/** Lowest stated fraction that counts, so that one call does not stand for dozens. */
const STATED_MINIMUM = 0.1
const MILLISECONDS_PER_SECOND = 1_000

export interface Offer {
  readonly isCall: boolean
  /** Fraction of the parents that the sender of a call admits; 1 without thinning. */
  readonly senderFraction: number
}

/** What the target can take. */
export interface Capacity {
  readonly slots: number
  /** Requests per second that the target states as its limit, if any. */
  readonly rate: number | undefined
}

export class AdmissionFraction {
  private readonly callArrivals = new DecayingRates.DecayingRate()
  /** Slot-ms a ms that calls would ask for without thinning. */
  private readonly callWork = new DecayingRates.DecayingRate()
  private readonly directWork = new DecayingRates.DecayingRate()
  private readonly callCost = new MeanCost()
  private readonly directCost = new MeanCost()
  private waitingCalls = 0

  /** Records a request that starts or waits, or was refused because it could not finish in time. */
  recordOffer ({ isCall, senderFraction }: Offer, wasRefused: boolean, now: Decisions.Clock.Milliseconds): void {
    if (!isCall) {
      this.directWork.add(this.directCost.value * (wasRefused ? REFUSED_DIRECT_WEIGHT : 1), DIRECT_AVERAGING_MS, now)
      return
    }
    const weight = wasRefused ? REFUSED_CALL_WEIGHT : 1
    this.callArrivals.add(weight, ARRIVALS_MEMORY_MS, now)
    this.callWork.add(weight * this.callCost.value / Math.max(STATED_MINIMUM, Math.min(1, senderFraction)), this.averagingTime(now), now)
  }

  /** Counts the calls in the queue: 1 when one enters it, -1 when one leaves. */
  recordWaiting (change: 1 | -1): void {
    this.waitingCalls = Math.max(0, this.waitingCalls + change)
  }

  recordRun (isCall: boolean, elapsed: number): void {
    (isCall ? this.callCost : this.directCost).add(elapsed)
  }

  /** Discards what was learned of an earlier process of the target. Requests in the queue stay there. */
  resetCosts (): void {
    this.callCost.reset()
    this.directCost.reset()
  }

  /** Fraction of the calls without thinning for which there is room, from `FRACTION_MINIMUM` to `FRACTION_MAXIMUM`. */
  current ({ slots, rate }: Capacity, now: Decisions.Clock.Milliseconds): number {
    const demand = this.callWork.at(this.averagingTime(now), now)
    if (demand <= 0) return FRACTION_MAXIMUM
    const usable = rate === undefined ? slots : Math.min(slots, rate * this.callCost.value / MILLISECONDS_PER_SECOND)
    const direct = Math.min(this.directWork.at(DIRECT_AVERAGING_MS, now), DIRECT_SHARE * usable)
    const excess = Math.max(0, this.waitingCalls * this.callCost.value - BACKLOG_ALLOWED_MS * usable)
    const room = Math.max(ROOM_MINIMUM * usable, UTILIZATION * (usable - direct) - excess / BACKLOG_DRAIN_MS)
    return Math.min(FRACTION_MAXIMUM, Math.max(FRACTION_MINIMUM, room / demand))
  }

  private averagingTime (now: Decisions.Clock.Milliseconds): number {
    const arrivals = this.callArrivals.at(ARRIVALS_MEMORY_MS, now)
    return Math.min(AVERAGING_MAXIMUM_MS, Math.max(AVERAGING_MINIMUM_MS, AVERAGED_ARRIVALS / arrivals))
  }
}

class MeanCost {
  value = INITIAL_COST_MS
  private count = 0

  add (elapsed: number): void {
    this.count += 1
    this.value += Math.max(COST_SMOOTHING, 1 / this.count) * (elapsed - this.value)
  }

  reset (): void {
    this.value = INITIAL_COST_MS
    this.count = 0
  }
}
