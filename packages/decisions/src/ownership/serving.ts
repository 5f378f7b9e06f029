/** Keyed requests: forwarded to their owner, or entered in the ledger and answered from it. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import * as Judging from './judging.js'
import * as IdempotencyKeys from './idempotency-key.js'
import type * as IdempotencyTables from './idempotency-table.js'
import type * as OwnershipRules from './ownership-rules.js'

/** Longest wait for a promise or a roster. */
const WAIT_LIMIT = Clock.seconds(1)
/** Forwards of one request; a further one follows only a refusal by a node that does not own the key. */
const FORWARDS = 2
/** Resends that wait for one run; each holds an open request. */
const WAITING_LIMIT = 64

interface Wait { readonly key: IdempotencyKeys.ParsedKey, readonly until: number }
interface Forwarding { readonly key: IdempotencyKeys.ParsedKey, readonly count: number, readonly node: Ids.NodeId, end?: Events.AttemptEnd }

export class Serving {
  private readonly waits = new Map<Ids.RequestId, Wait>()
  private readonly forwards = new Map<Ids.RequestId, Forwarding>()
  private readonly runs = new Map<Ids.RequestId, IdempotencyTables.IdempotencyRecord>()
  private readonly resends = new Map<Ids.RequestId, IdempotencyTables.IdempotencyRecord>()

  constructor (private readonly rules: OwnershipRules.OwnershipRules) {}

  /** A keyed request that Quarantine let pass. */
  enter (id: Ids.RequestId, request: Requests.Request, turn: Controllers.Turn): void {
    const parsed = IdempotencyKeys.parse(request.arrival.key ?? Ids.idempotencyKey(''))
    if (parsed.isErr()) {
      this.refuse(id, Refusals.notRun('key-malformed', parsed.error.detail), turn)
      return
    }
    turn.board.keys.keyedRequests.add(id)
    this.decide(id, request, { key: parsed.value, until: turn.now + WAIT_LIMIT }, turn)
  }

  private decide (id: Ids.RequestId, request: Requests.Request, wait: Wait, turn: Controllers.Turn): void {
    const verdict = Judging.judge(wait.key, request, this.rules, turn)
    switch (verdict.kind) {
      case 'resend': this.resend(id, request, verdict.record, turn); break
      case 'run': this.run(id, request, wait.key, turn); break
      case 'forward': this.forward(id, request, wait.key, verdict.node, 1, turn); break
      case 'refuse': this.refuse(id, verdict.refusal, turn); break
      case 'wait':
        if (turn.now >= wait.until) this.refuse(id, verdict.refusal, turn)
        else this.waits.set(id, wait)
    }
  }

  private run (id: Ids.RequestId, request: Requests.Request, key: IdempotencyKeys.ParsedKey, turn: Controllers.Turn): void {
    const { idempotencyTable: ledger } = turn.board.keys
    const name = Judging.ledgerId(request.arrival.service, key)
    ledger.start(name, key.time, request.arrival.signature, id)
    const record = ledger.get(name)
    if (record !== undefined) this.runs.set(id, record)
    turn.raise({ kind: 'placement-wanted', request: id })
  }

  private resend (id: Ids.RequestId, request: Requests.Request, record: IdempotencyTables.IdempotencyRecord, turn: Controllers.Turn): void {
    const { state } = record
    if (record.signature !== request.arrival.signature) {
      this.refuse(id, Refusals.notRun('key-content-mismatch', 'The key was used before with different content.'), turn)
    } else if (state.kind !== 'running') {
      this.answer(id, state, turn)
    } else if (state.waiting.length >= WAITING_LIMIT) {
      this.refuse(id, Refusals.unknown('overloaded', 'The request is running and too many resends wait for it.'), turn)
    } else {
      state.waiting.push(id)
      this.resends.set(id, record)
    }
  }

  private forward (id: Ids.RequestId, request: Requests.Request, key: IdempotencyKeys.ParsedKey, node: Ids.NodeId, count: number, turn: Controllers.Turn): void {
    const address = turn.board.members.get(node)?.address
    if (address === undefined) {
      this.refuse(id, Refusals.unknown('key-owner-unreachable', `The address of the key's owner ${node} is not known.`), turn)
      return
    }
    this.forwards.set(id, { key, count, node })
    const attempt = Ids.attemptId(turn.freshId())
    request.attempts.push({ attempt, hop: 'owner', node, startedAt: turn.now })
    const remaining = Clock.between(turn.now, request.deadline)
    turn.emit({ kind: 'forward', request: id, attempt, hop: 'owner', node, address, remaining, earlierAttempts: request.arrival.earlierAttempts })
  }

  /** Handled before Routing, which drops the request's record. */
  attemptFinished (event: Events.AttemptFinished, turn: Controllers.Turn): void {
    const id = event.request
    const request = turn.board.requests.get(id)
    if (request === undefined || request.attempts.at(-1)?.attempt !== event.attempt) return
    const forwarding = this.forwards.get(id)
    if (forwarding !== undefined) forwarding.end = event.end
    if (!request.relayed) return
    turn.board.keys.keyedRequests.delete(id)
    this.forwards.delete(id)
    const { end } = event
    this.finish(id, end.kind === 'complete'
      ? { kind: 'complete', status: end.status, ...(end.body === undefined ? {} : { body: end.body }) }
      : { kind: 'unknown' }, turn)
  }

  /** No attempt is left. The answer to a held request is given here. */
  placementFailed (event: Events.PlacementFailed, turn: Controllers.Turn): void {
    const { request: id, refusal } = event
    if (!turn.board.keys.keyedRequests.has(id)) return
    const forwarding = this.forwards.get(id)
    if (forwarding !== undefined) {
      this.forwardFailed(id, forwarding, refusal, turn)
    } else if (this.runs.has(id)) {
      const sealed: Refusals.Refusal = { kind: refusal.kind, outcome: refusal.outcome, detail: `${refusal.detail} The key is used up: a repeat needs a new key.` }
      this.finish(id, refusal.outcome === 'not-run' ? { kind: 'refused', refusal: sealed } : { kind: 'unknown' }, turn)
      this.refuse(id, refusal.outcome === 'not-run' ? sealed : refusal, turn)
    } else {
      // An earlier send of the key may have run or may be running.
      this.refuse(id, Refusals.unknown(refusal.kind, refusal.detail), turn)
    }
  }

  private forwardFailed (id: Ids.RequestId, forwarding: Forwarding, refusal: Refusals.Refusal, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    const { end } = forwarding
    if (request !== undefined && end?.kind === 'refused' && end.refusal.kind === 'key-owner-changed' && forwarding.count < FORWARDS) {
      const verdict = Judging.judge(forwarding.key, request, this.rules, turn)
      if (verdict.kind === 'forward' && verdict.node !== forwarding.node) {
        this.forward(id, request, forwarding.key, verdict.node, forwarding.count + 1, turn)
        return
      }
    }
    this.refuse(id, this.rules.forwardRefusal(end, refusal), turn)
  }

  /** Ends a run and answers the resends that wait for it. */
  private finish (id: Ids.RequestId, state: Exclude<IdempotencyTables.RecordState, { kind: 'running' }>, turn: Controllers.Turn): void {
    const record = this.runs.get(id)
    if (record?.state.kind !== 'running') return
    this.runs.delete(id)
    const { waiting } = record.state
    turn.board.keys.idempotencyTable.finish(record, state)
    for (const resend of waiting) {
      if (this.resends.delete(resend)) this.answer(resend, record.state, turn)
    }
  }

  private answer (id: Ids.RequestId, state: IdempotencyTables.RecordState, turn: Controllers.Turn): void {
    switch (state.kind) {
      case 'complete':
        this.drop(id)
        turn.emit({ kind: 'replay', request: id, status: state.status, ...(state.body === undefined ? {} : { body: state.body }) })
        break
      case 'refused': this.refuse(id, state.refusal, turn); break
      case 'unknown':
      case 'running':
        this.refuse(id, Refusals.unknown('upstream-disconnected', 'The request was sent once; how it ended is not known.'), turn)
    }
  }

  private refuse (id: Ids.RequestId, refusal: Refusals.Refusal, turn: Controllers.Turn): void {
    this.drop(id)
    if (turn.board.requests.get(id) !== undefined) turn.emit({ kind: 'refuse', request: id, refusal })
  }

  /** The request stays held until its record is gone: Routing has yet to see the event that led to the answer. */
  private drop (id: Ids.RequestId): void {
    this.waits.delete(id)
    this.forwards.delete(id)
    this.resends.delete(id)
  }

  tick (turn: Controllers.Turn): void {
    const { keys, requests } = turn.board
    for (const id of keys.keyedRequests) if (requests.get(id) === undefined) keys.keyedRequests.delete(id)
    for (const [id, wait] of [...this.waits]) {
      this.waits.delete(id)
      const request = requests.get(id)
      if (request === undefined) this.drop(id)
      else this.decide(id, request, wait, turn)
    }
    for (const id of [...this.resends.keys()]) {
      const request = requests.get(id)
      if (request === undefined || turn.now >= request.deadline) {
        this.refuse(id, Refusals.unknown('deadline-exceeded', 'The request with this key is still running.'), turn)
      }
    }
    for (const id of [...this.forwards.keys()]) if (requests.get(id) === undefined) this.drop(id)
    for (const id of [...this.runs.keys()]) {
      if (requests.get(id) !== undefined) continue
      this.drop(id)
      this.finish(id, { kind: 'unknown' }, turn)
    }
  }
}
