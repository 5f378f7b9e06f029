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

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'admission-wanted': this.admit(event, turn); break
      case 'attempt-withdrawn': this.withdrawAttempt(event, turn); break
      case 'attempt-responded': this.recordResponse(event, turn); break
      case 'attempt-finished': this.finishAttempt(event, turn); break
      case 'target-announced': this.updateTarget(event, turn); break
      case 'target-leaving': this.drainTarget(event.target, turn); break
      case 'target-gone': this.removeTarget(event.target, turn); break
      case 'drain-requested': this.drain(event, turn); break
      case 'request-ended': this.endFinishedDrains(turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
  }

  private admit (event: Events.AdmissionWanted, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(event.request)
    if (request === undefined) return
    const { priority } = request.policy
    const entry = { request: event.request, attempt: event.attempt, priority, deadline: request.deadline }
    const refusal = this.refusalFor(event.target, request, turn)
    const limiter = this.limiterFor(event.target, turn)
    if (refusal !== undefined || limiter === undefined) {
      Refuse.refuse(entry, refusal ?? Refuse.targetUnknown(event.target), turn)
      return
    }
    limiter.setWeight(weightOf(event.target, turn))
    if (limiter.isReturning() && !limiter.hasFreeSlot(turn.now)) {
      Refuse.refuse(entry, Refuse.targetEjected(event.target, limiter.expectedWait(0)), turn)
      return
    }
    if (this.enqueue(limiter, entry, turn)) this.dispatchQueued(limiter, turn)
  }

  /** The refusal if the target must not get this request, whatever its load; otherwise undefined. */
  private refusalFor (target: Ids.TargetId, request: Requests.Request, turn: Controllers.Turn): Refusals.Refusal | undefined {
    const registered = turn.board.targets.get(target)
    if (registered?.address === undefined) return Refuse.targetUnknown(target)
    if (registered.state === 'leaving' || this.drains.has(target)) return Refuse.targetLeaving(target)
    const ejectionState = turn.board.ejections.stateOf(target)
    if (ejectionState.kind === 'ejected') return Refuse.targetEjected(target, ejectionState.until - turn.now)
    return ejectionState.weight < NON_IDEMPOTENT_WEIGHT_MINIMUM && !request.idempotent ? Refuse.targetEjected(target, 0) : undefined
  }

  /**
   * Queues the attempt if it can finish before its deadline; otherwise refuses it and returns false.
   * If the queue is full, an attempt of lower priority is refused in its place.
   */
  private enqueue (limiter: TargetLimiters.TargetLimiter, entry: WorkQueues.QueuedAttempt, turn: Controllers.Turn): boolean {
    const startsNow = limiter.queued === 0 && limiter.hasFreeSlot(turn.now)
    const ahead = limiter.queue.countAhead(entry.priority)
    const isTimely = startsNow ? limiter.canStart(entry.deadline, turn.now) : limiter.canWait(entry.deadline, ahead, turn.now)
    if (!isTimely) {
      Refuse.refuse(entry, Refuse.overloaded(limiter, `A request to backend server ${limiter.target} cannot finish before its deadline.`), turn)
      return false
    }
    if (limiter.isQueueFull()) {
      const displaced = limiter.queue.displace(entry.priority)
      if (displaced === undefined) {
        Refuse.refuse(entry, Refuse.overloaded(limiter, `The queue of backend server ${limiter.target} is full.`), turn)
        return false
      }
      Refuse.refuse(displaced, Refuse.displaced(limiter), turn)
    }
    limiter.queue.add(entry)
    // Attempts behind the new one now wait longer; those that can no longer finish in time are refused at once.
    if (ahead < limiter.queued - 1) this.refuseLate(limiter, turn)
    return true
  }

  /** Refuses queued attempts that can no longer finish before their deadline. */
  private refuseLate (limiter: TargetLimiters.TargetLimiter, turn: Controllers.Turn): void {
    const late = limiter.queue.retain((entry, position) => limiter.canWait(entry.deadline, position, turn.now))
    for (const entry of late) Refuse.refuse(entry, Refuse.displaced(limiter), turn)
  }

  /** Dispatches queued attempts while the target has free slots. */
  private dispatchQueued (limiter: TargetLimiters.TargetLimiter, turn: Controllers.Turn): void {
    const target = turn.board.targets.get(limiter.target)
    while (target?.address !== undefined && limiter.queued > 0 && limiter.hasFreeSlot(turn.now)) {
      const next = limiter.queue.takeFirst()
      if (next === undefined) return
      if (!limiter.canStart(next.deadline, turn.now)) {
        Refuse.refuse(next, Refuse.overloaded(limiter, 'The request waited too long to finish before its deadline.'), turn)
        continue
      }
      limiter.start(next.attempt, turn.now)
      turn.board.limits.dispatched.set(next.attempt, limiter.target)
      const remaining = Clock.between(turn.now, next.deadline)
      turn.emit({ kind: 'dispatch', request: next.request, attempt: next.attempt, target: limiter.target, address: target.address, remaining })
    }
  }

  /** Removes a queued attempt, or cancels a running one, which keeps its slot until its end is reported. */
  private withdrawAttempt (event: Events.AttemptWithdrawn, turn: Controllers.Turn): void {
    const { request, attempt } = event
    if (turn.board.limits.dispatched.has(attempt)) {
      turn.emit({ kind: 'cancel', request, attempt })
      return
    }
    for (const limiter of this.limiters.values()) if (limiter.queue.remove(attempt)) return
  }

  private recordResponse (event: Events.AttemptResponded, turn: Controllers.Turn): void {
    const target = turn.board.limits.dispatched.get(event.attempt)
    const limiter = target === undefined ? undefined : this.limiters.get(target)
    if (limiter?.isRunning(event.attempt) !== true) return
    if (event.shed) limiter.concurrency.recordShed(turn.now)
    else if (event.status < SERVER_ERROR_STATUS) limiter.concurrency.recordResponse(event.serviceTime, limiter.running)
  }

  private finishAttempt (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const target = turn.board.limits.dispatched.get(event.attempt)
    if (target === undefined) return
    turn.board.limits.dispatched.delete(event.attempt)
    const limiter = this.limiters.get(target)
    if (limiter?.finish(event.attempt, event.end.kind === 'complete', turn.now) === true) this.dispatchQueued(limiter, turn)
    this.endFinishedDrains(turn)
  }

  private updateTarget (event: Events.TargetAnnounced, turn: Controllers.Turn): void {
    const limiter = this.limiters.get(event.target)
    const current = turn.board.targets.get(event.target)?.incarnation
    if (limiter !== undefined && limiter.incarnation !== current) this.removeTarget(event.target, turn)
    this.limiterFor(event.target, turn)?.concurrency.resize(event.slots)
    if (this.nodeDrain !== undefined) this.drainTarget(event.target, turn)
  }

  private limiterFor (target: Ids.TargetId, turn: Controllers.Turn): TargetLimiters.TargetLimiter | undefined {
    const limiter = this.limiters.get(target)
    if (limiter !== undefined) return limiter
    const registered = turn.board.targets.get(target)
    if (registered?.address === undefined) return undefined
    const fresh = new TargetLimiters.TargetLimiter(target, registered.incarnation, registered.slots)
    this.limiters.set(target, fresh)
    turn.board.limits.byTarget.set(target, fresh)
    return fresh
  }

  /** Discards the slots and the queue of a target whose process ended; its queued attempts are refused. */
  private removeTarget (target: Ids.TargetId, turn: Controllers.Turn): void {
    const limiter = this.limiters.get(target)
    this.limiters.delete(target)
    turn.board.limits.byTarget.delete(target)
    if (limiter !== undefined) {
      for (const entry of limiter.queue.removeAll()) Refuse.refuse(entry, Refuse.targetUnknown(target), turn)
    }
    const drain = this.drains.get(target)
    this.drains.delete(target)
    if (drain?.endIfDone(0, turn.now) === true) turn.emit({ kind: 'drained', target, abandoned: limiter?.running ?? 0 })
    this.endFinishedDrains(turn)
  }

  private drain (event: Events.DrainRequested, turn: Controllers.Turn): void {
    if (event.target !== undefined) {
      this.drainTarget(event.target, turn)
      return
    }
    if (this.nodeDrain !== undefined) return
    turn.board.limits.isNodeLeaving = true
    this.nodeDrain = new Drains.Drain(turn.now, turn.board.configuration.current.defaults.drainLimit)
    for (const target of this.limiters.keys()) this.drainTarget(target, turn)
    this.endFinishedDrains(turn)
  }

  private drainTarget (target: Ids.TargetId, turn: Controllers.Turn): void {
    const registered = turn.board.targets.get(target)
    if (registered?.address === undefined || this.drains.has(target)) return
    this.limiterFor(target, turn)
    const { drainLimit } = turn.board.configuration.policyFor({ service: registered.service }, turn.now)
    this.drains.set(target, new Drains.Drain(turn.now, drainLimit))
    turn.record({ controller: 'admission', decision: 'drain-started', evidence: `limit ${drainLimit} ms`, target, service: registered.service })
    this.endFinishedDrains(turn)
  }

  /** Ends every drain that has no work left or has reached its time limit. */
  private endFinishedDrains (turn: Controllers.Turn): void {
    for (const [target, drain] of this.drains) {
      const limiter = this.limiters.get(target)
      if (limiter === undefined || !drain.endIfDone(limiter.running + limiter.queued, turn.now)) continue
      for (const entry of limiter.queue.removeAll()) Refuse.refuse(entry, Refuse.targetLeaving(target), turn)
      turn.emit({ kind: 'drained', target, abandoned: limiter.running })
    }
    const left = turn.board.requests.byId.size
    // A node that owns idempotency keys keeps running until a new roster without it is in force.
    const owned = turn.board.keys.mayLeave ? 0 : 1
    if (this.nodeDrain?.endIfDone(left + owned, turn.now) === true) turn.emit({ kind: 'drained', abandoned: left })
  }

  private tick (turn: Controllers.Turn): void {
    for (const limiter of this.limiters.values()) {
      const ejectionState = turn.board.ejections.stateOf(limiter.target)
      if (ejectionState.kind === 'ejected') {
        for (const entry of limiter.queue.removeAll()) Refuse.refuse(entry, Refuse.targetEjected(limiter.target, ejectionState.until - turn.now), turn)
      }
      limiter.setWeight(weightOf(limiter.target, turn))
      this.refuseLate(limiter, turn)
      this.dispatchQueued(limiter, turn)
    }
    this.endFinishedDrains(turn)
  }
}

/** Share of its full work that a target in service may get; 1 for an ejected target, which gets no work anyway. */
function weightOf (target: Ids.TargetId, turn: Controllers.Turn): number {
  const ejectionState = turn.board.ejections.stateOf(target)
  return ejectionState.kind === 'ejected' ? 1 : ejectionState.weight
}
