/** Ejects unhealthy targets and returns them to service, within the capacity floor. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as TargetCounts from './target-counts.js'
import * as EjectionCoordinators from './ejection-coordinator.js'
import * as LeaseRules from './lease-rules.js'
import type * as Messages from './message.js'
import * as MessageSenders from './message-sender.js'
import * as PromiseGranters from './promise-granter.js'
import * as TargetReturns from './target-returns.js'

/** Time for which an entry treats a target as ejected when the refusal contains no retry-after time. */
const REMOTE_EJECTION_MILLISECONDS = 1_000
const COUNT_INTERVAL_MILLISECONDS = 1_000

export class Ejection extends Controllers.Controller {
  private readonly targetCounts = new TargetCounts.TargetCounts()
  private readonly sender = new MessageSenders.MessageSender()
  private readonly targetReturns = new TargetReturns.TargetReturns()
  private readonly granter: PromiseGranters.PromiseGranter
  private readonly coordinator: EjectionCoordinators.EjectionCoordinator
  private startedAt: Clock.Milliseconds | undefined
  private countedAt: Clock.Milliseconds | undefined

  constructor (private readonly leaseRules: LeaseRules.LeaseRules = new LeaseRules.LeaseRules()) {
    super()
    this.granter = new PromiseGranters.PromiseGranter(leaseRules, this.targetCounts, this.sender)
    this.coordinator = new EjectionCoordinators.EjectionCoordinator(leaseRules, this.targetCounts, this.sender, this.granter, this.targetReturns)
  }

  react (event: Events.Event, context: Controllers.StepContext): void {
    this.startedAt ??= context.now
    this.coordinator.endExpiredEjections(context)
    switch (event.kind) {
      case 'ejection-wanted':
        if (this.leaseRules.mayEjectAfterStart(this.startedAt, context.now)) this.coordinator.openClaim(event, context)
        break
      case 'message-received': this.handleMessage(event.message, event.from, context); break
      case 'attempt-finished': recordRemoteEjection(event, context); break
      case 'tick': this.tick(context); break
      default: break
    }
    for (let next = this.sender.takeLocal(); next !== undefined; next = this.sender.takeLocal()) this.handleMessage(next, context.board.identity.node, context)
  }

  private handleMessage (message: Events.MessageReceived['message'] | Messages.EjectionMessage, from: Ids.NodeId, context: Controllers.StepContext): void {
    switch (message.kind) {
      case 'promise-request': this.granter.handleRequest(message, from, this.coordinator.claimedTargets(), context); break
      case 'promise-reply': this.coordinator.handleReply(message, from, context); break
      case 'promise-release': this.granter.handleRelease(message); break
      case 'promise-return': this.coordinator.handleReleaseRequest(message, from, context); break
      case 'promise-withdrawal': this.coordinator.handleWithdrawal(message, context); break
      default: break
    }
  }

  private tick (context: Controllers.StepContext): void {
    this.granter.tick(context)
    this.coordinator.tick(context)
    this.targetReturns.tick(context)
    for (const [target, { until }] of context.board.ejections.remote) if (until <= context.now) context.board.ejections.remote.delete(target)
    if (this.countedAt !== undefined && context.now - this.countedAt < COUNT_INTERVAL_MILLISECONDS) return
    this.countedAt = context.now
    for (const service of localServices(context)) this.targetCounts.update(service, context.board.targets, context.now)
  }
}

function localServices (context: Controllers.StepContext): ReadonlySet<Ids.Service> {
  const { identity, targets } = context.board
  return new Set([...targets.byId.values()].filter(target => target.host === identity.node).map(target => target.service))
}

/** An entry learns that a remote target is ejected when its host refuses a request for this reason. */
function recordRemoteEjection (event: Events.AttemptFinished, context: Controllers.StepContext): void {
  if (event.end.kind !== 'refused' || event.end.refusal.kind !== 'target-ejected') return
  const refusedAttempt = context.board.requests.get(event.request)?.attempts.find(attempt => attempt.attempt === event.attempt)
  if (refusedAttempt?.target === undefined || refusedAttempt.hop !== 'host') return
  const wait = event.end.refusal.retryAfter ?? REMOTE_EJECTION_MILLISECONDS
  context.board.ejections.remote.set(refusedAttempt.target, { until: Clock.milliseconds(context.now + wait) })
}
