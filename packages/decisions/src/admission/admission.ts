/** Admission control on the host of a target: limits the attempts that run at once and queues the rest. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import * as Drains from './drain.js'
import * as TargetLimiters from './target-limiter.js'
import * as Refuse from './refuse.js'
import type * as WorkQueues from './work-queue.js'

/** Below this weight, a target that returns from ejection gets only idempotent work, which can be retried elsewhere. */
const NON_IDEMPOTENT_WEIGHT_MINIMUM = 0.25
const SERVER_ERROR_STATUS = 500

export class Admission extends Controllers.Controller {
  private readonly limiters = new Map<Ids.TargetId, TargetLimiters.TargetLimiter>()
  private readonly drains = new Map<Ids.TargetId, Drains.Drain>()
  /** Drain of the whole node; undefined before it is requested. */
  private nodeDrain: Drains.Drain | undefined

  react (event: Events.Event, context: Controllers.StepContext): void {
    switch (event.kind) {
      case 'admission-wanted': this.admit(event, context); break
      case 'attempt-withdrawn': this.withdrawAttempt(event, context); break
      case 'attempt-responded': this.recordResponse(event, context); break
      case 'attempt-finished': this.finishAttempt(event, context); break
      case 'target-announced': this.updateTarget(event, context); break
      case 'target-leaving': this.drainTarget(event.target, context); break
      case 'target-gone': this.removeTarget(event.target, context); break
      case 'drain-requested': this.drain(event, context); break
      case 'request-ended': this.endFinishedDrains(context); break
      case 'tick': this.tick(context); break
      default: break
    }
  }

  private admit (event: Events.AdmissionWanted, context: Controllers.StepContext): void {
    const request = context.board.requests.get(event.request)
    if (request === undefined) return
    const { priority } = request.policy
    const entry = { request: event.request, attempt: event.attempt, priority, deadline: request.deadline }
    const refusal = this.refusalFor(event.target, request, context)
    const limiter = this.limiterFor(event.target, context)
    if (refusal !== undefined || limiter === undefined) {
      Refuse.refuse(entry, refusal ?? Refuse.targetUnknown(event.target), context)
      return
    }
    limiter.setWeight(weightOf(event.target, context))
    if (limiter.isReturning() && !limiter.hasFreeSlot(context.now)) {
      Refuse.refuse(entry, Refuse.targetEjected(event.target, limiter.expectedWait(0)), context)
      return
    }
    if (this.enqueue(limiter, entry, context)) this.dispatchQueued(limiter, context)
  }

  /** The refusal if the target must not get this request, whatever its load; otherwise undefined. */
  private refusalFor (target: Ids.TargetId, request: Requests.Request, context: Controllers.StepContext): Refusals.Refusal | undefined {
    const registered = context.board.targets.get(target)
    if (registered?.address === undefined) return Refuse.targetUnknown(target)
    if (registered.state === 'leaving' || this.drains.has(target)) return Refuse.targetLeaving(target)
    const ejectionState = context.board.ejections.stateOf(target)
    if (ejectionState.kind === 'ejected') return Refuse.targetEjected(target, ejectionState.until - context.now)
    return ejectionState.weight < NON_IDEMPOTENT_WEIGHT_MINIMUM && !request.idempotent ? Refuse.targetEjected(target, 0) : undefined
  }

  /**
   * Queues the attempt if it can finish before its deadline; otherwise refuses it and returns false.
   * If the queue is full, an attempt of lower priority is refused in its place.
   */
  private enqueue (limiter: TargetLimiters.TargetLimiter, entry: WorkQueues.QueuedAttempt, context: Controllers.StepContext): boolean {
    const startsNow = limiter.queued === 0 && limiter.hasFreeSlot(context.now)
    const ahead = limiter.queue.countAhead(entry.priority)
    const isTimely = startsNow ? limiter.canStart(entry.deadline, context.now) : limiter.canWait(entry.deadline, ahead, context.now)
    if (!isTimely) {
      Refuse.refuse(entry, Refuse.overloaded(limiter, `A request to backend server ${limiter.target} cannot finish before its deadline.`), context)
      return false
    }
    if (limiter.isQueueFull()) {
      const displaced = limiter.queue.displace(entry.priority)
      if (displaced === undefined) {
        Refuse.refuse(entry, Refuse.overloaded(limiter, `The queue of backend server ${limiter.target} is full.`), context)
        return false
      }
      Refuse.refuse(displaced, Refuse.displaced(limiter), context)
    }
    limiter.queue.add(entry)
    // Attempts behind the new one now wait longer; those that can no longer finish in time are refused at once.
    if (ahead < limiter.queued - 1) this.refuseLate(limiter, context)
    return true
  }

  /** Refuses queued attempts that can no longer finish before their deadline. */
  private refuseLate (limiter: TargetLimiters.TargetLimiter, context: Controllers.StepContext): void {
    const late = limiter.queue.retain((entry, position) => limiter.canWait(entry.deadline, position, context.now))
    for (const entry of late) Refuse.refuse(entry, Refuse.displaced(limiter), context)
  }

  /** Dispatches queued attempts while the target has free slots. */
  private dispatchQueued (limiter: TargetLimiters.TargetLimiter, context: Controllers.StepContext): void {
    const target = context.board.targets.get(limiter.target)
    while (target?.address !== undefined && limiter.queued > 0 && limiter.hasFreeSlot(context.now)) {
      const next = limiter.queue.takeFirst()
      if (next === undefined) return
      if (!limiter.canStart(next.deadline, context.now)) {
        Refuse.refuse(next, Refuse.overloaded(limiter, 'The request waited too long to finish before its deadline.'), context)
        continue
      }
      limiter.start(next.attempt, context.now)
      context.board.limits.dispatched.set(next.attempt, limiter.target)
      const remaining = Clock.between(context.now, next.deadline)
      context.emit({ kind: 'dispatch', request: next.request, attempt: next.attempt, target: limiter.target, address: target.address, remaining })
    }
  }

  /** Removes a queued attempt, or cancels a running one, which keeps its slot until its end is reported. */
  private withdrawAttempt (event: Events.AttemptWithdrawn, context: Controllers.StepContext): void {
    const { request, attempt } = event
    if (context.board.limits.dispatched.has(attempt)) {
      context.emit({ kind: 'cancel', request, attempt })
      return
    }
    for (const limiter of this.limiters.values()) if (limiter.queue.remove(attempt)) return
  }

  private recordResponse (event: Events.AttemptResponded, context: Controllers.StepContext): void {
    const target = context.board.limits.dispatched.get(event.attempt)
    const limiter = target === undefined ? undefined : this.limiters.get(target)
    if (limiter?.isRunning(event.attempt) !== true) return
    if (event.shed) limiter.concurrency.recordShed(context.now)
    else if (event.status < SERVER_ERROR_STATUS) limiter.concurrency.recordResponse(event.serviceTime, limiter.running)
  }

  private finishAttempt (event: Events.AttemptFinished, context: Controllers.StepContext): void {
    const target = context.board.limits.dispatched.get(event.attempt)
    if (target === undefined) return
    context.board.limits.dispatched.delete(event.attempt)
    const limiter = this.limiters.get(target)
    if (limiter?.finish(event.attempt, event.end.kind === 'complete', context.now) === true) this.dispatchQueued(limiter, context)
    this.endFinishedDrains(context)
  }

  private updateTarget (event: Events.TargetAnnounced, context: Controllers.StepContext): void {
    const limiter = this.limiters.get(event.target)
    const current = context.board.targets.get(event.target)?.incarnation
    if (limiter !== undefined && limiter.incarnation !== current) this.removeTarget(event.target, context)
    this.limiterFor(event.target, context)?.concurrency.resize(event.slots)
    if (this.nodeDrain !== undefined) this.drainTarget(event.target, context)
  }

  private limiterFor (target: Ids.TargetId, context: Controllers.StepContext): TargetLimiters.TargetLimiter | undefined {
    const limiter = this.limiters.get(target)
    if (limiter !== undefined) return limiter
    const registered = context.board.targets.get(target)
    if (registered?.address === undefined) return undefined
    const fresh = new TargetLimiters.TargetLimiter(target, registered.incarnation, registered.slots)
    this.limiters.set(target, fresh)
    context.board.limits.byTarget.set(target, fresh)
    return fresh
  }

  /** Discards the slots and the queue of a target whose process ended; its queued attempts are refused. */
  private removeTarget (target: Ids.TargetId, context: Controllers.StepContext): void {
    const limiter = this.limiters.get(target)
    this.limiters.delete(target)
    context.board.limits.byTarget.delete(target)
    if (limiter !== undefined) {
      for (const entry of limiter.queue.removeAll()) Refuse.refuse(entry, Refuse.targetUnknown(target), context)
    }
    const drain = this.drains.get(target)
    this.drains.delete(target)
    if (drain?.endIfDone(0, context.now) === true) context.emit({ kind: 'drained', target, abandoned: limiter?.running ?? 0 })
    this.endFinishedDrains(context)
  }

  private drain (event: Events.DrainRequested, context: Controllers.StepContext): void {
    if (event.target !== undefined) {
      this.drainTarget(event.target, context)
      return
    }
    if (this.nodeDrain !== undefined) return
    context.board.limits.isNodeLeaving = true
    this.nodeDrain = new Drains.Drain(context.now, context.board.configuration.current.defaults.drainLimit)
    for (const target of this.limiters.keys()) this.drainTarget(target, context)
    this.endFinishedDrains(context)
  }

  private drainTarget (target: Ids.TargetId, context: Controllers.StepContext): void {
    const registered = context.board.targets.get(target)
    if (registered?.address === undefined || this.drains.has(target)) return
    this.limiterFor(target, context)
    const { drainLimit } = context.board.configuration.policyFor({ service: registered.service }, context.now)
    this.drains.set(target, new Drains.Drain(context.now, drainLimit))
    context.record({ controller: 'admission', decision: 'drain-started', evidence: `limit ${drainLimit} ms`, target, service: registered.service })
    this.endFinishedDrains(context)
  }

  /** Ends every drain that has no work left or has reached its time limit. */
  private endFinishedDrains (context: Controllers.StepContext): void {
    for (const [target, drain] of this.drains) {
      const limiter = this.limiters.get(target)
      if (limiter === undefined || !drain.endIfDone(limiter.running + limiter.queued, context.now)) continue
      for (const entry of limiter.queue.removeAll()) Refuse.refuse(entry, Refuse.targetLeaving(target), context)
      context.emit({ kind: 'drained', target, abandoned: limiter.running })
    }
    const requestsLeft = context.board.requests.byId.size
    // A node that owns idempotency keys keeps running until a new roster without it is in force.
    const ownershipLeft = context.board.keys.mayLeave ? 0 : 1
    if (this.nodeDrain?.endIfDone(requestsLeft + ownershipLeft, context.now) === true) context.emit({ kind: 'drained', abandoned: requestsLeft })
  }

  private tick (context: Controllers.StepContext): void {
    for (const limiter of this.limiters.values()) {
      const ejectionState = context.board.ejections.stateOf(limiter.target)
      if (ejectionState.kind === 'ejected') {
        for (const entry of limiter.queue.removeAll()) Refuse.refuse(entry, Refuse.targetEjected(limiter.target, ejectionState.until - context.now), context)
      }
      limiter.setWeight(weightOf(limiter.target, context))
      this.refuseLate(limiter, context)
      this.dispatchQueued(limiter, context)
    }
    this.endFinishedDrains(context)
  }
}

/** Share of its full work that a target in service may get; 1 for an ejected target, which gets no work anyway. */
function weightOf (target: Ids.TargetId, context: Controllers.StepContext): number {
  const ejectionState = context.board.ejections.stateOf(target)
  return ejectionState.kind === 'ejected' ? 1 : ejectionState.weight
}
