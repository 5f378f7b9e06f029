/**
 * Runs keyed non-idempotent requests at most once.
 *
 * Every key has one owner at a time. The key's time selects a version of its region's roster, and rendezvous hashing
 * selects a member of that version. The owner runs a key only after a majority of the version's witnesses has promised
 * the key's time to it, and keeps the outcome in its idempotency table.
 */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import * as OwnershipRules from './ownership-rules.js'
import * as RosterProposers from './roster-proposer.js'
import * as RosterLogReaders from './roster-log-reader.js'
import * as Transport from './transport.js'
import * as KeyedRequestHandlers from './keyed-request-handler.js'
import * as RosterGossips from './roster-gossip.js'
import * as MemberAvailability from './member-availability.js'
import * as WitnessRoles from './witness-role.js'

const EXPIRY_INTERVAL = Clock.seconds(10)
/** Rosters are kept longer than idempotency records, so that an expired key is not assigned to an owner of another version. */
const ROSTER_RETENTION_MARGIN = Clock.minutes(1)
/** Time between two `roster-leave` messages during a planned stop. */
const LEAVE_INTERVAL = Clock.seconds(1)
/** After the start of the next version, requests with earlier key times may still be in transit to this node. */
const IN_FLIGHT_PERIOD = Clock.seconds(2)

export class Ownership extends Controllers.Controller {
  private readonly requestHandler: KeyedRequestHandlers.KeyedRequestHandler
  private readonly witnessRole: WitnessRoles.WitnessRole
  private readonly logReader = new RosterLogReaders.RosterLogReader()
  private readonly proposer = new RosterProposers.RosterProposer(this.logReader)
  private readonly gossip = new RosterGossips.RosterGossip()
  private nextExpiryAt = 0
  private leaveSentAt = 0

  constructor (rules: OwnershipRules.OwnershipRules = new OwnershipRules.OwnershipRules()) {
    super()
    this.requestHandler = new KeyedRequestHandlers.KeyedRequestHandler(rules)
    this.witnessRole = new WitnessRoles.WitnessRole(rules)
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'request-cleared': this.handleCleared(event.request, turn); break
      case 'attempt-finished': this.requestHandler.handleAttemptFinished(event, turn); break
      case 'placement-failed': this.requestHandler.handlePlacementFailed(event, turn); break
      case 'tick': this.tick(turn); break
      case 'message-received': this.handleMessage(event, turn); break
      case 'log-read': if (event.stream === 'roster') this.logReader.handleRead(event, turn); break
      case 'log-unavailable': if (event.stream === 'roster') this.logReader.handleUnavailable(turn); break
      case 'append-finished': if (event.stream === 'roster') this.proposer.handleAppendFinished(event, turn); break
      case 'drain-requested': if (event.target === undefined) turn.board.keys.isLeaving = true; break
      default: break
    }
  }

  /** Directs a request that Quarantine did not block: to admission, to its key owner, or to placement. */
  private handleCleared (id: Ids.RequestId, turn: Controllers.Turn): void {
    const request = turn.board.requests.get(id)
    if (request === undefined) return
    const { hop, target, key } = request.arrival
    if (hop === 'host' && target !== undefined) {
      turn.raise({ kind: 'admission-wanted', request: id, attempt: request.firstAttempt, target })
    } else if (hop === 'owner' && key === undefined) {
      turn.raise({ kind: 'placement-failed', request: id, refusal: Refusals.notRun('request-malformed', 'A request forwarded to an owner has a key.') })
    } else if (hop === 'owner' || (key !== undefined && !request.idempotent)) {
      this.requestHandler.accept(id, request, turn)
    } else {
      turn.raise({ kind: 'placement-wanted', request: id })
    }
  }

  private tick (turn: Controllers.Turn): void {
    this.logReader.tick(turn)
    this.witnessRole.tick(turn)
    this.proposer.tick(turn)
    this.gossip.tick(turn)
    this.requestHandler.tick(turn)
    this.discardExpired(turn)
    this.leave(turn)
  }

  private handleMessage (event: Events.MessageReceived, turn: Controllers.Turn): void {
    const { from, address } = event
    const { message } = event
    const { rosters } = turn.board.keys
    switch (message.kind) {
      case 'roster-promises': this.gossip.handlePromises(message, from, address, turn); break
      case 'roster-changes':
        for (const { change, offset } of message.changes) rosters.applyChange(change, offset, 0)
        break
      case 'roster-state': rosters.adoptState(message.state); break
      case 'roster-request': {
        const roster = rosters.get(message.region as Ids.Region)
        if (roster !== undefined) this.gossip.answer(roster, message.version, from, address, turn)
        break
      }
      case 'roster-proposal': this.witnessRole.sign(message, from, address, this.proposer.leavingMembers, turn); break
      case 'roster-signature': this.proposer.addSignature(message.id, from, turn); break
      case 'roster-leave': this.proposer.leavingMembers.add(MemberAvailability.incarnationKey(from, message.incarnation)); break
      default: break
    }
  }

  /** Discards idempotency records and roster versions that are older than the retention of keys. */
  private discardExpired (turn: Controllers.Turn): void {
    // A wait longer than the interval means that the clock was set back; it is cut short.
    if (turn.now < this.nextExpiryAt && this.nextExpiryAt - turn.now <= EXPIRY_INTERVAL) return
    this.nextExpiryAt = turn.now + EXPIRY_INTERVAL
    const { configuration, keys } = turn.board
    const oldestKeyTime = turn.now - configuration.current.defaults.keyRetention
    keys.idempotencyTable.expire(oldestKeyTime)
    this.proposer.pruneLeavingMembers(turn)
    for (const roster of keys.rosters.byRegion.values()) roster.prune(Clock.milliseconds(oldestKeyTime - ROSTER_RETENTION_MARGIN))
  }

  /**
   * During a planned stop, asks to be removed by the next roster version. This node may leave once a version without it
   * governs new keys and its running requests have ended. The last usable node of a region only waits for the latter,
   * since no other node can take over.
   */
  private leave (turn: Controllers.Turn): void {
    const { identity, keys } = turn.board
    if (!keys.isLeaving || keys.mayLeave) return
    const roster = keys.rosters.get(identity.region)
    const isListed = roster?.members().some(member => member.node === identity.node && member.incarnation === identity.incarnation) ?? false
    const isLast = !turn.board.members.usable().some(member => member.region === identity.region && member.node !== identity.node)
    if (!isListed || isLast) {
      const start = roster?.latest.start ?? Infinity
      keys.mayLeave = keys.idempotencyTable.runningCount === 0 && (roster === undefined || isLast || turn.now >= start + IN_FLIGHT_PERIOD)
    } else if (roster !== undefined && Math.abs(turn.now - this.leaveSentAt) >= LEAVE_INTERVAL) {
      this.leaveSentAt = turn.now
      this.proposer.leavingMembers.add(MemberAvailability.incarnationKey(identity.node, identity.incarnation))
      const witnesses = roster.latest.promises.witnesses.map(witness => witness.node)
      Transport.sendAll([...this.logReader.readers, ...witnesses], { kind: 'roster-leave', region: identity.region, incarnation: identity.incarnation }, turn)
    }
  }
}
