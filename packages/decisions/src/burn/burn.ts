/**
 * Counts good and bad requests, as callers see them, for the burn report: how fast each service spends the error
 * budget of its service-level objectives.
 */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Classifications from './classification.js'

export class Burn extends Controllers.Controller {
  react (event: Events.Event, context: Controllers.StepContext): void {
    if (event.kind === 'request-ended' && event.hop === 'entry') countRequest(event, context)
  }
}

function countRequest (event: Events.RequestEnded, context: Controllers.StepContext): void {
  const classification = Classifications.classify(event)
  if (classification === undefined || isUnknownService(event, context)) return
  const counters = context.board.burn.countersFor(event.service)
  counters.latencyObjective = event.policy.latencyObjective
  counters.availabilityObjective = event.policy.availabilityObjective
  for (const { tally } of counters.windows) tally.add(classification, context.now)
  if (classification === 'good') return
  const target = event.targets.at(-1)
  if (target !== undefined) counters.targets.add(target, context.now)
  for (const cause of Classifications.causes(event)) counters.causes.add(cause, context.now)
}

/** Names of services that never existed would fill the counters. A service that lost all its targets is still counted. */
function isUnknownService (event: Events.RequestEnded, context: Controllers.StepContext): boolean {
  const isRefusedAsUnknown = event.end.kind === 'refused' && event.end.refusal.kind === 'service-unknown'
  return isRefusedAsUnknown && !context.board.burn.byService.has(event.service)
}
