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

  react (event: Events.Event, context: Controllers.StepContext): void {
    switch (event.kind) {
      case 'request-cleared': this.handleCleared(event.request, context); break
      case 'attempt-finished': this.requestHandler.handleAttemptFinished(event, context); break
      case 'placement-failed': this.requestHandler.handlePlacementFailed(event, context); break
      case 'tick': this.tick(context); break
      case 'message-received': this.handleMessage(event, context); break
      case 'log-read': if (event.stream === 'roster') this.logReader.handleRead(event, context); break
      case 'log-unavailable': if (event.stream === 'roster') this.logReader.handleUnavailable(context); break
      case 'append-finished': if (event.stream === 'roster') this.proposer.handleAppendFinished(event, context); break
      case 'drain-requested': if (event.target === undefined) context.board.keys.isLeaving = true; break
      default: break
    }
  }

  /** Directs a request that Quarantine did not block: to admission, to its key owner, or to placement. */
  private handleCleared (id: Ids.RequestId, context: Controllers.StepContext): void {
    const request = context.board.requests.get(id)
    if (request === undefined) return
    const { hop, target, key } = request.arrival
    if (hop === 'host' && target !== undefined) {
      context.raise({ kind: 'admission-wanted', request: id, attempt: request.firstAttempt, target })
    } else if (hop === 'owner' && key === undefined) {
      context.raise({ kind: 'placement-failed', request: id, refusal: Refusals.notRun('request-malformed', 'A request forwarded to an owner has a key.') })
    } else if (hop === 'owner' || (key !== undefined && !request.idempotent)) {
      this.requestHandler.accept(id, request, context)
    } else {
      context.raise({ kind: 'placement-wanted', request: id })
    }
  }

  private tick (context: Controllers.StepContext): void {
    this.logReader.tick(context)
    this.witnessRole.tick(context)
    this.proposer.tick(context)
    this.gossip.tick(context)
    this.requestHandler.tick(context)
    this.discardExpired(context)
    this.leave(context)
  }

  private handleMessage (event: Events.MessageReceived, context: Controllers.StepContext): void {
    const { from, address } = event
    const { message } = event
    const { rosters } = context.board.keys
    switch (message.kind) {
      case 'roster-promises': this.gossip.handlePromises(message, from, address, context); break
      case 'roster-changes':
        for (const { change, offset } of message.changes) rosters.applyChange(change, offset, 0)
        break
      case 'roster-state': rosters.adoptState(message.state); break
      case 'roster-request': {
        const roster = rosters.get(message.region as Ids.Region)
        if (roster !== undefined) this.gossip.answer(roster, message.version, from, address, context)
        break
      }
      case 'roster-proposal': this.witnessRole.sign(message, from, address, this.proposer.leavingMembers, context); break
      case 'roster-signature': this.proposer.addSignature(message.id, from, context); break
      case 'roster-leave': this.proposer.leavingMembers.add(MemberAvailability.incarnationKey(from, message.incarnation)); break
      default: break
    }
  }

  /** Discards idempotency records and roster versions that are older than the retention of keys. */
  private discardExpired (context: Controllers.StepContext): void {
    // A wait longer than the interval means that the clock was set back; it is cut short.
    if (context.now < this.nextExpiryAt && this.nextExpiryAt - context.now <= EXPIRY_INTERVAL) return
    this.nextExpiryAt = context.now + EXPIRY_INTERVAL
    const { configuration, keys } = context.board
    const oldestKeyTime = context.now - configuration.current.defaults.keyRetention
    keys.idempotencyTable.expire(oldestKeyTime)
    this.proposer.pruneLeavingMembers(context)
    for (const roster of keys.rosters.byRegion.values()) roster.prune(Clock.milliseconds(oldestKeyTime - ROSTER_RETENTION_MARGIN))
  }

  /**
   * During a planned stop, asks to be removed by the next roster version. This node may leave once a version without it
   * governs new keys and its running requests have ended. The last usable node of a region only waits for the latter,
   * since no other node can take over.
   */
  private leave (context: Controllers.StepContext): void {
    const { identity, keys } = context.board
    if (!keys.isLeaving || keys.mayLeave) return
    const roster = keys.rosters.get(identity.region)
    const isListed = roster?.members().some(member => member.node === identity.node && member.incarnation === identity.incarnation) ?? false
    const isLast = !context.board.members.usable().some(member => member.region === identity.region && member.node !== identity.node)
    if (!isListed || isLast) {
      const start = roster?.latest.start ?? Infinity
      keys.mayLeave = keys.idempotencyTable.runningCount === 0 && (roster === undefined || isLast || context.now >= start + IN_FLIGHT_PERIOD)
    } else if (roster !== undefined && Math.abs(context.now - this.leaveSentAt) >= LEAVE_INTERVAL) {
      this.leaveSentAt = context.now
      this.proposer.leavingMembers.add(MemberAvailability.incarnationKey(identity.node, identity.incarnation))
      const witnesses = roster.latest.promises.witnesses.map(witness => witness.node)
      Transport.sendAll([...this.logReader.readers, ...witnesses], { kind: 'roster-leave', region: identity.region, incarnation: identity.incarnation }, context)
    }
  }
}
