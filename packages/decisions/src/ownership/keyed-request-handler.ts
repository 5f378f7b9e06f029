/**
 * Handles keyed requests: forwards them to the owner of the key or, on the owner, runs each key once
 * and answers resends from the idempotency table.
 */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import * as KeyDecisions from './key-decision.js'
import * as IdempotencyKeys from './idempotency-key.js'
import type * as IdempotencyTables from './idempotency-table.js'
import type * as OwnershipRules from './ownership-rules.js'

/** Longest time for which a request is deferred until a promise or a roster arrives. */
const OWNER_WAIT_LIMIT = Clock.seconds(1)
/** Limit on the forwards of one request. A second one follows only if the first node refused because it does not own the key. */
const FORWARDS_MAXIMUM = 2
/** Limit on the resends that wait for one running request; each of them keeps a caller's request open. */
const WAITING_RESENDS_MAXIMUM = 64

interface DeferredRequest { readonly key: IdempotencyKeys.ParsedKey, readonly waitUntil: number }
interface Forward { readonly key: IdempotencyKeys.ParsedKey, readonly count: number, readonly node: Ids.NodeId, end?: Events.AttemptEnd }

export class KeyedRequestHandler {
  private readonly deferredRequests = new Map<Ids.RequestId, DeferredRequest>()
  private readonly forwards = new Map<Ids.RequestId, Forward>()
  private readonly runningRecords = new Map<Ids.RequestId, IdempotencyTables.IdempotencyRecord>()
  private readonly waitingResends = new Map<Ids.RequestId, IdempotencyTables.IdempotencyRecord>()

  constructor (private readonly rules: OwnershipRules.OwnershipRules) {}

  /** Handles a keyed request that Quarantine did not block. */
  accept (id: Ids.RequestId, request: Requests.Request, context: Controllers.StepContext): void {
    const parsed = IdempotencyKeys.parse(request.arrival.key ?? Ids.idempotencyKey(''))
    if (parsed.isErr()) {
      this.refuse(id, Refusals.notRun('key-malformed', parsed.error.detail), context)
      return
    }
    context.board.keys.keyedRequests.add(id)
    this.processRequest(id, request, { key: parsed.value, waitUntil: context.now + OWNER_WAIT_LIMIT }, context)
  }

  private processRequest (id: Ids.RequestId, request: Requests.Request, deferred: DeferredRequest, context: Controllers.StepContext): void {
    const decision = KeyDecisions.decide(deferred.key, request, this.rules, context)
    switch (decision.kind) {
      case 'resend': this.resend(id, request, decision.record, context); break
      case 'run': this.run(id, request, deferred.key, context); break
      case 'forward': this.forward(id, request, deferred.key, decision.node, 1, context); break
      case 'refuse': this.refuse(id, decision.refusal, context); break
      case 'wait':
        if (context.now >= deferred.waitUntil) this.refuse(id, decision.refusal, context)
        else this.deferredRequests.set(id, deferred)
    }
  }

  private run (id: Ids.RequestId, request: Requests.Request, key: IdempotencyKeys.ParsedKey, context: Controllers.StepContext): void {
    const { idempotencyTable } = context.board.keys
    const recordId = KeyDecisions.recordId(request.arrival.service, key)
    idempotencyTable.start(recordId, key.time, request.arrival.signature, id)
    const record = idempotencyTable.get(recordId)
    if (record !== undefined) this.runningRecords.set(id, record)
    context.raise({ kind: 'placement-wanted', request: id })
  }

  private resend (id: Ids.RequestId, request: Requests.Request, record: IdempotencyTables.IdempotencyRecord, context: Controllers.StepContext): void {
    const { state } = record
    if (record.signature !== request.arrival.signature) {
      this.refuse(id, Refusals.notRun('key-content-mismatch', 'The key was used before with different content.'), context)
    } else if (state.kind !== 'running') {
      this.answer(id, state, context)
    } else if (state.waitingRequests.length >= WAITING_RESENDS_MAXIMUM) {
      this.refuse(id, Refusals.unknown('overloaded', 'The request is running and too many resends wait for it.'), context)
    } else {
      state.waitingRequests.push(id)
      this.waitingResends.set(id, record)
    }
  }

  private forward (id: Ids.RequestId, request: Requests.Request, key: IdempotencyKeys.ParsedKey, node: Ids.NodeId, count: number, context: Controllers.StepContext): void {
    const address = context.board.members.get(node)?.address
    if (address === undefined) {
      this.refuse(id, Refusals.unknown('key-owner-unreachable', `The address of the key's owner ${node} is not known.`), context)
      return
    }
    this.forwards.set(id, { key, count, node })
    const attempt = Ids.attemptId(context.freshId())
    request.attempts.push({ attempt, hop: 'owner', node, startedAt: context.now })
    const remaining = Clock.between(context.now, request.deadline)
    context.emit({ kind: 'forward', request: id, attempt, hop: 'owner', node, address, remaining, earlierAttempts: request.arrival.earlierAttempts })
  }

  /** Must run before Routing handles the event, because Routing removes the request. */
  handleAttemptFinished (event: Events.AttemptFinished, context: Controllers.StepContext): void {
    const id = event.request
    const request = context.board.requests.get(id)
    if (request === undefined || request.attempts.at(-1)?.attempt !== event.attempt) return
    const forward = this.forwards.get(id)
    if (forward !== undefined) forward.end = event.end
    if (!request.relayed) return
    context.board.keys.keyedRequests.delete(id)
    this.forwards.delete(id)
    const { end } = event
    this.finishRun(id, end.kind === 'complete'
      ? { kind: 'complete', status: end.status, ...(end.body === undefined ? {} : { body: end.body }) }
      : { kind: 'unknown' }, context)
  }

  /** Called when no attempt is left. Refuses the request if it is a keyed one; Routing refuses the others. */
  handlePlacementFailed (event: Events.PlacementFailed, context: Controllers.StepContext): void {
    const { request: id, refusal } = event
    if (!context.board.keys.keyedRequests.has(id)) return
    const forward = this.forwards.get(id)
    if (forward !== undefined) {
      this.handleForwardFailed(id, forward, refusal, context)
    } else if (this.runningRecords.has(id)) {
      const finalRefusal: Refusals.Refusal = { kind: refusal.kind, outcome: refusal.outcome, detail: `${refusal.detail} The key is used up: a repeat needs a new key.` }
      this.finishRun(id, refusal.outcome === 'not-run' ? { kind: 'refused', refusal: finalRefusal } : { kind: 'unknown' }, context)
      this.refuse(id, refusal.outcome === 'not-run' ? finalRefusal : refusal, context)
    } else {
      // An earlier request with this key may have run or may still be running.
      this.refuse(id, Refusals.unknown(refusal.kind, refusal.detail), context)
    }
  }

  private handleForwardFailed (id: Ids.RequestId, forward: Forward, refusal: Refusals.Refusal, context: Controllers.StepContext): void {
    const request = context.board.requests.get(id)
    const { end } = forward
    if (request !== undefined && end?.kind === 'refused' && end.refusal.kind === 'key-owner-changed' && forward.count < FORWARDS_MAXIMUM) {
      const decision = KeyDecisions.decide(forward.key, request, this.rules, context)
      if (decision.kind === 'forward' && decision.node !== forward.node) {
        this.forward(id, request, forward.key, decision.node, forward.count + 1, context)
        return
      }
    }
    this.refuse(id, this.rules.refusalAfterForward(end, refusal), context)
  }

  /** Stores the final state of a running record and answers the resends that wait for it. */
  private finishRun (id: Ids.RequestId, state: Exclude<IdempotencyTables.RecordState, { kind: 'running' }>, context: Controllers.StepContext): void {
    const record = this.runningRecords.get(id)
    if (record?.state.kind !== 'running') return
    this.runningRecords.delete(id)
    const { waitingRequests } = record.state
    context.board.keys.idempotencyTable.finish(record, state)
    for (const resend of waitingRequests) {
      if (this.waitingResends.delete(resend)) this.answer(resend, record.state, context)
    }
  }

  /** Answers a request from the state of its record. */
  private answer (id: Ids.RequestId, state: IdempotencyTables.RecordState, context: Controllers.StepContext): void {
    switch (state.kind) {
      case 'complete':
        this.untrack(id)
        context.emit({ kind: 'replay', request: id, status: state.status, ...(state.body === undefined ? {} : { body: state.body }) })
        break
      case 'refused': this.refuse(id, state.refusal, context); break
      case 'unknown':
      case 'running':
        this.refuse(id, Refusals.unknown('upstream-disconnected', 'The request was sent once; how it ended is not known.'), context)
    }
  }

  private refuse (id: Ids.RequestId, refusal: Refusals.Refusal, context: Controllers.StepContext): void {
    this.untrack(id)
    if (context.board.requests.get(id) !== undefined) context.emit({ kind: 'refuse', request: id, refusal })
  }

  /**
   * Does not remove the request from `keyedRequests`: Routing handles the event that caused the answer later in the same
   * step and must not answer it again. `tick` removes it once the request has ended.
   */
  private untrack (id: Ids.RequestId): void {
    this.deferredRequests.delete(id)
    this.forwards.delete(id)
    this.waitingResends.delete(id)
  }

  tick (context: Controllers.StepContext): void {
    const { keys, requests } = context.board
    for (const id of keys.keyedRequests) if (requests.get(id) === undefined) keys.keyedRequests.delete(id)
    for (const [id, deferred] of [...this.deferredRequests]) {
      this.deferredRequests.delete(id)
      const request = requests.get(id)
      if (request === undefined) this.untrack(id)
      else this.processRequest(id, request, deferred, context)
    }
    for (const id of [...this.waitingResends.keys()]) {
      const request = requests.get(id)
      if (request === undefined || context.now >= request.deadline) {
        this.refuse(id, Refusals.unknown('deadline-exceeded', 'The request with this key is still running.'), context)
      }
    }
    for (const id of [...this.forwards.keys()]) if (requests.get(id) === undefined) this.untrack(id)
    for (const id of [...this.runningRecords.keys()]) {
      if (requests.get(id) !== undefined) continue
      this.untrack(id)
      this.finishRun(id, { kind: 'unknown' }, context)
    }
  }
}
