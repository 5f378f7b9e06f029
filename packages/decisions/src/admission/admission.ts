/** Per-target concurrency and queues on the target's host. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import * as Drains from './drain.js'
import * as Lanes from './lane.js'
import * as Refuse from './refuse.js'
import type * as WorkQueues from './work-queue.js'

/** Weight below which a returning target gets only work that could be repeated elsewhere. */
const NON_IDEMPOTENT_WEIGHT = 0.25
const SERVER_ERROR = 500

export class Admission extends Controllers.Controller {
  private readonly lanes = new Map<Ids.TargetId, Lanes.Lane>()
  private readonly drains = new Map<Ids.TargetId, Drains.Drain>()
  private nodeDrain: Drains.Drain | undefined

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'admission-wanted': this.admit(event, turn); break
      case 'attempt-withdrawn': this.withdraw(event, turn); break
      case 'attempt-responded': this.respond(event, turn); break
      case 'attempt-finished': this.finish(event, turn); break
      case 'target-announced': this.announce(event, turn); break
      case 'target-leaving': this.drainTarget(event.target, turn); break
      case 'target-gone': this.remove(event.target, turn); break
      case 'drain-requested': this.drain(event, turn); break
      case 'request-ended': this.settleDrains(turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
  }

  private admit (event: Events.AdmissionWanted, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(event.request)
    if (request === undefined) return
    const { priority } = request.policy
    const waiting = { request: event.request, attempt: event.attempt, priority, deadline: request.deadline }
    const refusal = this.closedTo(event.target, request, turn)
    const lane = this.laneOf(event.target, turn)
    if (refusal !== undefined || lane === undefined) {
      Refuse.refuse(waiting, refusal ?? Refuse.absent(event.target), turn)
      return
    }
    lane.setWeight(weightOf(event.target, turn))
    if (lane.isReturning() && !lane.hasRoom(turn.now)) {
      Refuse.refuse(waiting, Refuse.ejected(event.target, lane.waitFor(0)), turn)
      return
    }
    if (this.enqueue(lane, waiting, turn)) this.pump(lane, turn)
  }

  /** A target that takes no new work at all, and why. */
  private closedTo (target: Ids.TargetId, request: Requests.Request, turn: Controllers.Turn): Refusals.Refusal | undefined {
    const known = turn.board.targets.get(target)
    if (known?.address === undefined) return Refuse.absent(target)
    if (known.state === 'leaving' || this.drains.has(target)) return Refuse.leaving(target)
    const standing = turn.board.ejections.stateOf(target)
    if (standing.kind === 'ejected') return Refuse.ejected(target, standing.until - turn.now)
    return standing.weight < NON_IDEMPOTENT_WEIGHT && !request.idempotent ? Refuse.ejected(target, 0) : undefined
  }

  /** Adds to the queue what can finish in time; makes room for it at the cost of lower priorities. */
  private enqueue (lane: Lanes.Lane, waiting: WorkQueues.Waiting, turn: Controllers.Turn): boolean {
    const immediate = lane.queued === 0 && lane.hasRoom(turn.now)
    const ahead = lane.queue.ahead(waiting.priority)
    const timely = immediate ? lane.canStart(waiting.deadline, turn.now) : lane.canWait(waiting.deadline, ahead, turn.now)
    if (!timely) {
      Refuse.refuse(waiting, Refuse.overloaded(lane, `A request to backend server ${lane.target} cannot finish before its deadline.`), turn)
      return false
    }
    if (lane.isFull()) {
      const displaced = lane.queue.displace(waiting.priority)
      if (displaced === undefined) {
        Refuse.refuse(waiting, Refuse.overloaded(lane, `The queue of backend server ${lane.target} is full.`), turn)
        return false
      }
      Refuse.refuse(displaced, Refuse.displaced(lane), turn)
    }
    lane.queue.add(waiting)
    // Work behind the new entry waits longer now; what can no longer finish in time is refused at once.
    if (ahead < lane.queued - 1) this.sift(lane, turn)
    return true
  }

  /** Refuses waiting work that no longer finishes before its deadline. */
  private sift (lane: Lanes.Lane, turn: Controllers.Turn): void {
    const late = lane.queue.sift((entry, position) => lane.canWait(entry.deadline, position, turn.now))
    for (const entry of late) Refuse.refuse(entry, Refuse.displaced(lane), turn)
  }

  private pump (lane: Lanes.Lane, turn: Controllers.Turn): void {
    const target = turn.board.targets.get(lane.target)
    while (target?.address !== undefined && lane.queued > 0 && lane.hasRoom(turn.now)) {
      const next = lane.queue.next()
      if (next === undefined) return
      if (!lane.canStart(next.deadline, turn.now)) {
        Refuse.refuse(next, Refuse.overloaded(lane, 'The request waited too long to finish before its deadline.'), turn)
        continue
      }
      lane.start(next.attempt, turn.now)
      turn.board.limits.dispatched.set(next.attempt, lane.target)
      const remaining = Clock.between(turn.now, next.deadline)
      turn.emit({ kind: 'dispatch', request: next.request, attempt: next.attempt, target: lane.target, address: target.address, remaining })
    }
  }

  /** Waiting work is dropped; running work is cancelled and keeps its slot until its end is reported. */
  private withdraw (event: Events.AttemptWithdrawn, turn: Controllers.Turn): void {
    const { request, attempt } = event
    if (turn.board.limits.dispatched.has(attempt)) {
      turn.emit({ kind: 'cancel', request, attempt })
      return
    }
    for (const lane of this.lanes.values()) if (lane.queue.remove(attempt)) return
  }

  private respond (event: Events.AttemptResponded, turn: Controllers.Turn): void {
    const target = turn.board.limits.dispatched.get(event.attempt)
    const lane = target === undefined ? undefined : this.lanes.get(target)
    if (lane?.holds(event.attempt) !== true) return
    if (event.shed) lane.concurrency.shed(turn.now)
    else if (event.status < SERVER_ERROR) lane.concurrency.responded(event.serviceTime, lane.running)
  }

  private finish (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const target = turn.board.limits.dispatched.get(event.attempt)
    if (target === undefined) return
    turn.board.limits.dispatched.delete(event.attempt)
    const lane = this.lanes.get(target)
    if (lane?.finish(event.attempt, event.end.kind === 'complete', turn.now) === true) this.pump(lane, turn)
    this.settleDrains(turn)
  }

  private announce (event: Events.TargetAnnounced, turn: Controllers.Turn): void {
    const lane = this.lanes.get(event.target)
    const current = turn.board.targets.get(event.target)?.incarnation
    if (lane !== undefined && lane.incarnation !== current) this.remove(event.target, turn)
    this.laneOf(event.target, turn)?.concurrency.resize(event.slots)
    if (this.nodeDrain !== undefined) this.drainTarget(event.target, turn)
  }

  private laneOf (target: Ids.TargetId, turn: Controllers.Turn): Lanes.Lane | undefined {
    const lane = this.lanes.get(target)
    if (lane !== undefined) return lane
    const known = turn.board.targets.get(target)
    if (known?.address === undefined) return undefined
    const fresh = new Lanes.Lane(target, known.incarnation, known.slots)
    this.lanes.set(target, fresh)
    turn.board.limits.byTarget.set(target, fresh)
    return fresh
  }

  /** The process is gone: its slots and its queue go with it. */
  private remove (target: Ids.TargetId, turn: Controllers.Turn): void {
    const lane = this.lanes.get(target)
    this.lanes.delete(target)
    turn.board.limits.byTarget.delete(target)
    if (lane !== undefined) {
      for (const entry of lane.queue.clear()) Refuse.refuse(entry, Refuse.absent(target), turn)
    }
    const drain = this.drains.get(target)
    this.drains.delete(target)
    if (drain?.ends(0, turn.now) === true) turn.emit({ kind: 'drained', target, abandoned: lane?.running ?? 0 })
    this.settleDrains(turn)
  }

  private drain (event: Events.DrainRequested, turn: Controllers.Turn): void {
    if (event.target !== undefined) {
      this.drainTarget(event.target, turn)
      return
    }
    if (this.nodeDrain !== undefined) return
    turn.board.limits.nodeLeaving = true
    this.nodeDrain = new Drains.Drain(turn.now, turn.board.configuration.current.defaults.drainLimit)
    for (const target of this.lanes.keys()) this.drainTarget(target, turn)
    this.settleDrains(turn)
  }

  private drainTarget (target: Ids.TargetId, turn: Controllers.Turn): void {
    const known = turn.board.targets.get(target)
    if (known?.address === undefined || this.drains.has(target)) return
    this.laneOf(target, turn)
    const { drainLimit } = turn.board.configuration.policyFor({ service: known.service }, turn.now)
    this.drains.set(target, new Drains.Drain(turn.now, drainLimit))
    turn.record({ controller: 'admission', decision: 'drain-started', evidence: `limit ${drainLimit} ms`, target, service: known.service })
    this.settleDrains(turn)
  }

  /** Ends every drain whose work is done or whose time is over. */
  private settleDrains (turn: Controllers.Turn): void {
    for (const [target, drain] of this.drains) {
      const lane = this.lanes.get(target)
      if (lane === undefined || !drain.ends(lane.running + lane.queued, turn.now)) continue
      for (const entry of lane.queue.clear()) Refuse.refuse(entry, Refuse.leaving(target), turn)
      turn.emit({ kind: 'drained', target, abandoned: lane.running })
    }
    const left = turn.board.requests.byId.size
    // An owner of keys stays until the next roster leaves it out.
    const owned = turn.board.keys.mayLeave ? 0 : 1
    if (this.nodeDrain?.ends(left + owned, turn.now) === true) turn.emit({ kind: 'drained', abandoned: left })
  }

  private tick (turn: Controllers.Turn): void {
    for (const lane of this.lanes.values()) {
      const standing = turn.board.ejections.stateOf(lane.target)
      if (standing.kind === 'ejected') {
        for (const entry of lane.queue.clear()) Refuse.refuse(entry, Refuse.ejected(lane.target, standing.until - turn.now), turn)
      }
      lane.setWeight(weightOf(lane.target, turn))
      this.sift(lane, turn)
      this.pump(lane, turn)
    }
    this.settleDrains(turn)
  }
}

function weightOf (target: Ids.TargetId, turn: Controllers.Turn): number {
  const standing = turn.board.ejections.stateOf(target)
  return standing.kind === 'ejected' ? 1 : standing.weight
}
