/** Serves one request: chooses targets, repeats what may be repeated, and ends with one answer. */
import * as Decisions from '@jasminedale/decisions'
import type * as Directories from '../directory/directory.js'
import type * as Registrations from '../directory/registration.js'
import type * as Works from '../host/work.js'
import type * as Metrics from '../observation/metrics.js'
import type * as Answers from './answer.js'
import * as HostViews from './host-views.js'
import type * as TargetSelectors from './target-selector.js'
import type * as Requests from './request.js'
import type * as RetryBudgets from './retry-budget.js'
import * as Senders from './sender.js'

export interface DispatchParts {
  readonly clock: Decisions.Clock.Clock
  readonly directory: Directories.Directory
  readonly views: HostViews.HostViews
  readonly targetSelector: TargetSelectors.TargetSelector
  readonly retryBudget: RetryBudgets.RetryBudget
  readonly sender: Pick<Senders.Sender, 'send'>
  readonly metrics: Metrics.Metrics
}

/** One attempt, as it is logged. */
interface Step {
  readonly target: Decisions.Ids.TargetId
  readonly startedAt: Decisions.Clock.Milliseconds
  result: string
}

const SERVER_ERROR = 500
/** Refusals by the target itself; each counts as an arrival in the shared budget. */
const REACHED_TARGET: ReadonlySet<Works.RefusalReason> = new Set<Works.RefusalReason>(['target-shed', 'target-changed'])
/** Share of the latency objective after which a silent repeatable request is tried elsewhere too: time for a second run is left. */
const HEDGE_SHARE = 0.5
/** Hosts that are asked at the same time; only the first to confirm gets the request. */
const COMPETITORS_MAXIMUM = 3
/** Attempts that may be refused before a host may queue the request. */
const REFUSALS_BEFORE_QUEUE = 2
/** Closed targets after which one is tried all the same: a third of a service may fail at a time, so six in a row are rare. */
const REFUSALS_BEFORE_INSISTING = 6
/** Refusals after which the request is given up: about as many as a service of the users has targets. */
const REFUSALS_MAXIMUM = 24
/** Hosts that may say that the request cannot finish in time there; their queues are alike under a lasting overload. */
const LATE_REFUSALS_MAXIMUM = 2
/** Share of the latency objective after which a request that no target takes is refused: an answer would be late. */
const WAIT_SHARE = 0.75
/** Pause between looks for a target while none takes work. */
const WAIT_STEP_MAXIMUM = 50
/** Time after the deadline within which attempts report what became of them. */
const DEADLINE_MARGIN = 10
/** Pause for the caller when nothing says when a target will take work again. */
const RETRY_AFTER_DEFAULT = 300

export class Dispatch {
  readonly answer: Promise<Answers.Answer>
  readonly steps: Step[] = []
  private resolve: (answer: Answers.Answer) => void = () => { /* Set by the promise. */ }
  private readonly active = new Map<Senders.Sending, Step>()
  private readonly excluded = new Set<Decisions.Ids.TargetId>()
  /** Targets on which an attempt ended after it ran or may have run. */
  private readonly ranOn = new Set<Decisions.Ids.TargetId>()
  private readonly timers = new Set<NodeJS.Timeout>()
  private over = false
  private expired = false
  /** Attempts whose host has confirmed the request: these run or may run. */
  private readonly confirmed = new Set<Senders.Sending>()
  /** Targets on which the request ran or may run. */
  private runs = 0
  /** Targets that the request reached, those that turned it away included. */
  private arrivals = 0
  private refusals = 0
  private lateRefusals = 0
  private closedRefusals = 0
  /** All targets were closed, and one was asked to run the request all the same. */
  private insisted = false
  /** The budget has allowed an arrival beyond the first that has not happened yet. */
  private paid = false
  private lastError: Answers.Answer | undefined
  private lastRefusal: Answers.Answer | undefined

  constructor (private readonly request: Requests.EntryRequest, private readonly parts: DispatchParts) {
    this.answer = new Promise(resolve => { this.resolve = resolve })
    parts.retryBudget.first(request.service, parts.clock.now())
    this.after(request.deadline - parts.clock.now() + DEADLINE_MARGIN, () => { this.expire() })
    this.next()
  }

  /** The caller has left. */
  abandon (): void {
    this.finish({ kind: 'abandoned' })
  }

  private next (): void {
    if (this.over) return
    const { request, parts } = this
    const now = parts.clock.now()
    const candidates = parts.directory.readyTargets(request.service)
    const criteria = { isFailureFinal: !this.mayTry(now), mayBypassBreaker: false, excluded: this.excluded }
    const chosen = this.suspectInTime(candidates, now) ?? parts.targetSelector.choose(candidates, criteria, now) ?? this.lastResort(candidates, now)
    if (chosen === undefined) {
      this.lackTarget(candidates, now)
      return
    }
    if (this.arrivals > 0 && !this.paid && !parts.retryBudget.take(request.service, parts.directory.readyCount, now)) {
      this.giveUp({ kind: 'not-run', reason: 'target-shed', retryAfter: RETRY_AFTER_DEFAULT })
      return
    }
    this.paid = this.arrivals > 0
    this.start(chosen, now)
  }

  /** With the open targets full, a near one that has failed only once is tried: most of its requests may succeed. */
  private suspectInTime (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    if (this.insisted || this.lateRefusals === 0) return undefined
    const suspect = this.parts.targetSelector.suspect(candidates, this.ranOn, now)
    this.insisted = suspect !== undefined
    return suspect
  }

  /** With every target closed, one of them is tried: its last failure may have been the usual rate of errors. */
  private lastResort (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): Registrations.Registration | undefined {
    if (this.insisted || (this.closedRefusals === 0 && !this.parts.targetSelector.anyClosed(candidates, now))) return undefined
    this.insisted = true
    return this.parts.targetSelector.choose(candidates, { isFailureFinal: false, mayBypassBreaker: true, excluded: this.ranOn }, now)
  }

  private start (registration: Registrations.Registration, now: Decisions.Clock.Milliseconds): void {
    const { request, parts } = this
    const view = parts.views.of(registration.target)
    const full = HostViews.busyness(view, now) >= registration.slots
    const sending = parts.sender.send(request, registration, {
      confirm: () => this.confirm(sending),
      mayTry: this.mayTry(now),
      mayWait: full || this.refusals >= REFUSALS_BEFORE_QUEUE, insists: this.insisted || this.closedRefusals >= REFUSALS_BEFORE_INSISTING
    })
    const step: Step = { target: registration.target, startedAt: now, result: 'open' }
    this.steps.push(step)
    this.active.set(sending, step)
    this.excluded.add(registration.target)
    this.after(Senders.SILENT_HOST, () => { this.compete(sending) })
    void sending.outcome.then(outcome => { this.ended(sending, outcome) })
  }

  /** Whether one more run is allowed. */
  private mayRun (): boolean {
    return this.runs === 0 || this.mayRepeat()
  }

  private mayRepeat (): boolean {
    return this.request.route.repeatable && this.runs < this.request.route.attempts
  }

  /** Whether a failure of the next run would not be final. */
  private mayTry (now: Decisions.Clock.Milliseconds): boolean {
    const { request, parts } = this
    return request.route.repeatable && this.runs + 1 < request.route.attempts && parts.retryBudget.allows(request.service, parts.directory.readyCount, now)
  }

  /** The host of this attempt holds a slot. Only the first of several hosts gets the request. */
  private confirm (sending: Senders.Sending): boolean {
    if (this.over || this.expired || !this.active.has(sending) || !this.mayRun()) return false
    if (this.arrivals > 0 && !this.paid) return false
    this.paid = false
    this.runs += 1
    this.arrivals += 1
    this.confirmed.add(sending)
    for (const other of this.unconfirmed()) this.withdraw(other)
    if (this.mayRepeat()) this.watch(sending)
    return true
  }

  private unconfirmed (): Senders.Sending[] {
    return [...this.active.keys()].filter(sending => !this.confirmed.has(sending))
  }

  /** Takes an attempt back that has certainly not run. */
  private withdraw (sending: Senders.Sending): void {
    const step = this.active.get(sending)
    if (step !== undefined) step.result = this.nameOf({ kind: 'withdrawn' }, step)
    this.active.delete(sending)
    sending.withdraw()
  }

  /** Asks another host when one stays silent. */
  private compete (sending: Senders.Sending): void {
    if (this.over || this.expired || !this.active.has(sending) || this.confirmed.has(sending) || sending.isQueued()) return
    if (this.unconfirmed().length < COMPETITORS_MAXIMUM) this.next()
  }

  /** Tries another target when the running one stays silent; the first of two answers is used. */
  private watch (sending: Senders.Sending): void {
    this.after(HEDGE_SHARE * this.request.route.latencyObjective, () => {
      if (!this.over && !this.expired && this.active.has(sending) && this.mayRepeat()) this.next()
    })
  }

  private ended (sending: Senders.Sending, outcome: Works.Outcome): void {
    const step = this.active.get(sending)
    this.active.delete(sending)
    if (step === undefined || this.over) return
    step.result = this.nameOf(outcome, step)
    this.parts.metrics.recordAttempt(this.request.service, outcome.kind === 'answered' ? String(outcome.response.status) : step.result)
    if (outcome.kind !== 'refused') this.ranOn.add(sending.target)
    switch (outcome.kind) {
      case 'answered': this.answered({ kind: 'response', response: outcome.response }, outcome.response.status); break
      case 'refused': this.refused(sending, outcome.reason, outcome.retryAfter); break
      case 'failed': this.failed({ kind: 'unknown', reason: outcome.reason }); break
      case 'withdrawn': this.failed({ kind: 'unknown', reason: 'timed-out' }); break
    }
  }

  private nameOf (outcome: Works.Outcome, step: Step): string {
    const elapsed = Math.round(this.parts.clock.now() - step.startedAt)
    const name = outcome.kind === 'answered' ? String(outcome.response.status) : outcome.kind === 'withdrawn' ? outcome.kind : outcome.reason
    return `${name}@${elapsed}`
  }

  private answered (answer: Answers.Answer, status: number): void {
    if (status < SERVER_ERROR) this.finish(answer)
    else this.failed(answer)
  }

  private failed (answer: Answers.Answer): void {
    // A server's own error says more than a lost connection.
    if (this.lastError?.kind !== 'response') this.lastError = answer
    if (this.mayRepeat() && !this.expired) this.next()
    else this.giveUp(answer)
  }

  private refused (sending: Senders.Sending, reason: Works.RefusalReason, retryAfter: number): void {
    if (this.confirmed.delete(sending)) this.unrun(reason)
    this.refusals += 1
    this.lastRefusal = { kind: 'not-run', reason, retryAfter }
    if (reason === 'target-closed') this.closedRefusals += 1
    if (reason === 'too-late') this.lateRefusals += 1
    const futile = this.expired || this.refusals >= REFUSALS_MAXIMUM || this.lateRefusals >= LATE_REFUSALS_MAXIMUM
    if (futile || !this.mayRun()) this.giveUp(this.lastRefusal)
    else if (this.unconfirmed().length === 0) this.next()
  }

  /** A confirmed request did not run after all. */
  private unrun (reason: Works.RefusalReason): void {
    this.runs -= 1
    if (REACHED_TARGET.has(reason)) return
    this.arrivals -= 1
    this.paid = this.arrivals > 0
  }

  /** No target takes the request now. Waits shortly, since pauses after a failure are short, then refuses. */
  private lackTarget (candidates: readonly Registrations.Registration[], now: Decisions.Clock.Milliseconds): void {
    const opening = this.parts.targetSelector.nextOpening(candidates, now) ?? RETRY_AFTER_DEFAULT
    const limit = this.request.arrivedAt + WAIT_SHARE * this.request.route.latencyObjective
    if (this.active.size > 0) return
    if (now >= limit) {
      this.giveUp(this.lastRefusal ?? { kind: 'not-run', reason: 'no-target', retryAfter: Math.max(opening, RETRY_AFTER_DEFAULT) })
      return
    }
    // Targets that were full or paused a moment ago may take work now.
    this.excluded.clear()
    for (const target of this.ranOn) this.excluded.add(target)
    this.after(Math.min(Math.max(opening, 1), WAIT_STEP_MAXIMUM), () => { this.next() })
  }

  /** Ends the request unless an attempt still runs. */
  private giveUp (reason: Answers.Answer): void {
    if (this.active.size > 0) return
    this.finish(this.lastError ?? reason)
  }

  private expire (): void {
    if (this.over) return
    this.expired = true
    if (this.active.size === 0) {
      this.finish(this.lastError ?? { kind: 'not-run', reason: 'too-late', retryAfter: RETRY_AFTER_DEFAULT })
      return
    }
    // Withdrawn attempts that were not confirmed report a refusal; the answer follows from their outcomes.
    for (const sending of [...this.active.keys()]) sending.withdraw()
  }

  private finish (answer: Answers.Answer): void {
    if (this.over) return
    this.over = true
    for (const timer of this.timers) clearTimeout(timer)
    for (const [sending, step] of this.active) {
      step.result = this.nameOf({ kind: 'withdrawn' }, step)
      sending.withdraw()
    }
    this.resolve(answer)
  }

  private after (duration: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      action()
    }, Math.max(0, duration))
    this.timers.add(timer)
  }
}
