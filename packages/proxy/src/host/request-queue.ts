/** Requests that wait for a slot of the local target, and the orders in which they start. */
import type * as Decisions from '@jasminedale/decisions'

export interface QueuedRequest {
  /** Priority under overload; 0 is the most urgent. */
  readonly priority: number
  readonly deadline: Decisions.Clock.Milliseconds
  /** When the latency objective is exceeded. */
  readonly objectiveDeadline: Decisions.Clock.Milliseconds
  /** Name of the route. */
  readonly route?: string
  readonly account?: Decisions.Ids.Account | undefined
  /** Whether a backend server sent it while it ran another request, which fails without it. */
  readonly isCall?: boolean
  /** Expected service time in ms; the mean if undefined. */
  readonly cost?: number | undefined
  /** Called when the request gets a slot. */
  start (): void
  /** Called when the request is removed from the queue, because it can no longer finish in time. */
  expire (): void
}

/** A request that is asked about but does not wait. */
export type Applicant = Omit<QueuedRequest, 'start' | 'expire'>

/** What the target can take now, by which waits are estimated. */
export interface Pace {
  readonly now: Decisions.Clock.Milliseconds
  readonly slots: number
  readonly meanServiceTime: Decisions.Clock.Milliseconds
  /** Expected time in ms until a slot is free. */
  readonly untilFree: number
  /** Mean time in ms between two requests that the rate limit allows. */
  readonly interval: number
}

export abstract class RequestQueue {
  abstract get length (): number
  /** Expected cost in ms of all that wait; those of unknown cost do not count. */
  abstract get work (): number
  /** Adds a request, and removes and returns others that are no longer expected to finish in time because of it. */
  abstract add (entry: QueuedRequest, pace: Pace): readonly QueuedRequest[]
  /** Returns whether the request was in the queue. */
  abstract remove (entry: QueuedRequest): boolean
  /** Removes and returns the request that starts next. */
  abstract takeNext (pace: Pace): QueuedRequest | undefined
  /** Removes and returns requests that would start next but can no longer meet their deadline. */
  abstract takeHopeless (pace: Pace): readonly QueuedRequest[]
  /** Milliseconds by which a request that enters now would finish too late; at most zero if it is in time. */
  abstract excess (entry: Applicant, pace: Pace): number
  /** Counts work of a request that starts without waiting. */
  abstract recordStart (entry: Applicant, pace: Pace): void
  /** Removes and returns all requests. */
  abstract takeAll (): readonly QueuedRequest[]
}

/** Expected service time of the request. */
export function costOf (entry: Applicant, { meanServiceTime }: Pace): number {
  return entry.cost ?? meanServiceTime
}

/** Expected time in ms until a request starts behind others with `work` ms in total. */
export function waitBehind (work: number, count: number, { slots, untilFree, interval }: Pace): number {
  return Math.max(untilFree + work / slots, (count + 1) * interval)
}

/**
 * Latest end of a request with `ahead` others before it. Requests behind a short queue must meet their deadline, those
 * behind a longer one also their latency objective: under a lasting overload, a long queue would make every response late.
 */
export function latestEnd (entry: Applicant, ahead: number, { slots }: Pace): number {
  return ahead < slots ? entry.deadline : Math.min(entry.deadline, entry.objectiveDeadline)
}
