/** Runs keyed non-idempotent requests at most once. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import * as OwnershipRules from './ownership-rules.js'
import * as Proposing from './proposing.js'
import * as Reading from './reading.js'
import * as Sending from './sending.js'
import * as Serving from './serving.js'
import * as Spreading from './spreading.js'
import * as Standing from './standing.js'
import * as Witnessing from './witnessing.js'

const EXPIRY_INTERVAL = Clock.seconds(10)
/** Rosters are kept a little longer than records, so that an expired key is not taken for one of an earlier roster. */
const ROSTER_MARGIN = Clock.minutes(1)
const LEAVE_INTERVAL = Clock.seconds(1)
/** After the next roster starts, requests with earlier key times may still be on their way. */
const LATE_SENDS = Clock.seconds(2)

export class Ownership extends Controllers.Controller {
  private readonly serving: Serving.Serving
  private readonly witnessing: Witnessing.Witnessing
  private readonly reading = new Reading.Reading()
  private readonly proposing = new Proposing.Proposing(this.reading)
  private readonly spreading = new Spreading.Spreading()
  private expiryAt = 0
  private leaveAt = 0

  constructor (rules: OwnershipRules.OwnershipRules = new OwnershipRules.OwnershipRules()) {
    super()
    this.serving = new Serving.Serving(rules)
    this.witnessing = new Witnessing.Witnessing(rules)
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-cleared': this.clear(event.request, turn); break
      case 'attempt-finished': this.serving.attemptFinished(event, turn); break
      case 'placement-failed': this.serving.placementFailed(event, turn); break
      case 'tick': this.tick(turn); break
      case 'message-received': this.receive(event, turn); break
      case 'log-read': if (event.stream === 'roster') this.reading.finished(event, turn); break
      case 'log-unavailable': if (event.stream === 'roster') this.reading.unavailable(turn); break
      case 'append-finished': if (event.stream === 'roster') this.proposing.appended(event, turn); break
      case 'drain-requested': if (event.target === undefined) turn.board.keys.isLeaving = true; break
      default: break
    }
  }

  private clear (id: Ids.RequestId, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    if (request === undefined) return
    const { hop, target, key } = request.arrival
    if (hop === 'host' && target !== undefined) {
      turn.raise({ kind: 'admission-wanted', request: id, attempt: request.firstAttempt, target })
    } else if (hop === 'owner' && key === undefined) {
      turn.raise({ kind: 'placement-failed', request: id, refusal: Refusals.notRun('request-malformed', 'A request forwarded to an owner has a key.') })
    } else if (hop === 'owner' || (key !== undefined && !request.idempotent)) {
      this.serving.enter(id, request, turn)
    } else {
      turn.raise({ kind: 'placement-wanted', request: id })
    }
  }

  private tick (turn: Controllers.Turn): void {
    this.reading.tick(turn)
    this.witnessing.tick(turn)
    this.proposing.tick(turn)
    this.spreading.tick(turn)
    this.serving.tick(turn)
    this.expire(turn)
    this.leave(turn)
  }

  private receive (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { from, address } = event
    const { message } = event
    const { rosters } = turn.board.keys
    switch (message.kind) {
      case 'roster-promises': this.spreading.heard(message, from, address, turn); break
      case 'roster-changes':
        for (const { change, offset } of message.changes) rosters.change(change, offset, 0)
        break
      case 'roster-state': rosters.adopt(message.state); break
      case 'roster-request': {
        const roster = rosters.get(message.region as Ids.Region)
        if (roster !== undefined) this.spreading.answer(roster, message.version, from, address, turn)
        break
      }
      case 'roster-proposal': this.witnessing.sign(message, from, address, this.proposing.leaving, turn); break
      case 'roster-signature': this.proposing.signed(message.id, from, turn); break
      case 'roster-leave': this.proposing.leaving.add(Standing.name(from, message.incarnation)); break
      default: break
    }
  }

  private expire (turn: Controllers.Turn): void {
    if (turn.now < this.expiryAt && this.expiryAt - turn.now <= EXPIRY_INTERVAL) return
    this.expiryAt = turn.now + EXPIRY_INTERVAL
    const { configuration, keys } = turn.board
    const oldest = turn.now - configuration.current.defaults.keyRetention
    keys.idempotencyTable.expire(oldest)
    this.proposing.forgetLeavers(turn)
    for (const roster of keys.rosters.byRegion.values()) roster.forget(Clock.milliseconds(oldest - ROSTER_MARGIN))
  }

  /**
   * At a planned stop this node asks to be left out of the next roster. It stays the owner
   * until a roster without it governs new keys and its running keys have ended. The last
   * usable node of a region has nobody to hand over to.
   */
  private leave (turn: Controllers.Turn): void {
    const { identity, keys } = turn.board
    if (!keys.isLeaving || keys.mayLeave) return
    const roster = keys.rosters.get(identity.region)
    const listed = roster?.members().some(member => member.node === identity.node && member.incarnation === identity.incarnation) ?? false
    const isLast = !turn.board.members.usable().some(member => member.region === identity.region && member.node !== identity.node)
    if (!listed || isLast) {
      const start = roster?.latest.start ?? Infinity
      keys.mayLeave = keys.idempotencyTable.runningCount === 0 && (roster === undefined || isLast || turn.now >= start + LATE_SENDS)
    } else if (roster !== undefined && Math.abs(turn.now - this.leaveAt) >= LEAVE_INTERVAL) {
      this.leaveAt = turn.now
      this.proposing.leaving.add(Standing.name(identity.node, identity.incarnation))
      const witnesses = roster.latest.promises.witnesses.map(witness => witness.node)
      Sending.sendAll([...this.reading.order, ...witnesses], { kind: 'roster-leave', region: identity.region, incarnation: identity.incarnation }, turn)
    }
  }
}
