/** Takes unhealthy targets out of service and back, within the capacity floor. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Censuses from './census.js'
import * as Claimants from './claimant.js'
import * as LeaseRules from './lease-rules.js'
import type * as Messages from './message.js'
import * as Posts from './post.js'
import * as Promisers from './promiser.js'
import * as Returns from './returns.js'

/** How long an entry avoids a target whose refusal does not say when to come back. */
const REMOTE_HINT_MILLISECONDS = 1_000
const CENSUS_MILLISECONDS = 1_000

export class Ejection extends Controllers.Controller {
  private readonly census = new Censuses.Census()
  private readonly post = new Posts.Post()
  private readonly returns = new Returns.Returns()
  private readonly promiser: Promisers.Promiser
  private readonly claimant: Claimants.Claimant
  private startedAt: Clock.Milliseconds | undefined
  private countedAt: Clock.Milliseconds | undefined

  constructor (private readonly guard: LeaseRules.LeaseRules = new LeaseRules.LeaseRules()) {
    super()
    this.promiser = new Promisers.Promiser(guard, this.census, this.post)
    this.claimant = new Claimants.Claimant(guard, this.census, this.post, this.promiser, this.returns)
  }

  react (event: Events.Event, turn: Controllers.Turn): void {
    this.startedAt ??= turn.now
    this.claimant.verify(turn)
    switch (event.kind) {
      case 'ejection-wanted':
        if (this.guard.isSettled(this.startedAt, turn.now)) this.claimant.wanted(event, turn)
        break
      case 'message-received': this.receive(event.message, event.from, turn); break
      case 'attempt-finished': hint(event, turn); break
      case 'tick': this.tick(turn); break
      default: break
    }
    for (let next = this.post.next(); next !== undefined; next = this.post.next()) this.receive(next, turn.board.identity.node, turn)
  }

  private receive (message: Events.MessageReceived['message'] | Messages.EjectionMessage, from: Ids.NodeId, turn: Controllers.Turn): void {
    switch (message.kind) {
      case 'promise-request': this.promiser.requested(message, from, this.claimant.claimed(), turn); break
      case 'promise-reply': this.claimant.replied(message, from, turn); break
      case 'promise-release': this.promiser.released(message); break
      case 'promise-return': this.claimant.wantedBack(message, from, turn); break
      case 'promise-withdrawal': this.claimant.withdrawn(message, turn); break
      default: break
    }
  }

  private tick (turn: Controllers.Turn): void {
    this.promiser.tick(turn)
    this.claimant.tick(turn)
    this.returns.tick(turn)
    for (const [target, { until }] of turn.board.ejections.remote) if (until <= turn.now) turn.board.ejections.remote.delete(target)
    if (this.countedAt !== undefined && turn.now - this.countedAt < CENSUS_MILLISECONDS) return
    this.countedAt = turn.now
    for (const service of localServices(turn)) this.census.observe(service, turn.board.targets, turn.now)
  }
}

function localServices (turn: Controllers.Turn): ReadonlySet<Ids.Service> {
  const { identity, targets } = turn.board
  return new Set([...targets.byId.values()].filter(target => target.host === identity.node).map(target => target.service))
}

/** An entry learns of an ejection elsewhere when the host refuses. */
function hint (event: Events.AttemptFinished, turn: Controllers.Turn): void {
  if (event.end.kind !== 'refused' || event.end.refusal.kind !== 'target-ejected') return
  const made = turn.board.requests.get(event.request)?.attempts.find(attempt => attempt.attempt === event.attempt)
  if (made?.target === undefined || made.hop !== 'host') return
  const wait = event.end.refusal.retryAfter ?? REMOTE_HINT_MILLISECONDS
  turn.board.ejections.remote.set(made.target, { until: Clock.milliseconds(turn.now + wait) })
}
