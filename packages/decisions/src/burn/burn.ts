/**
 * Counts good and bad requests, as callers see them, for the burn report: how fast each service spends the error
 * budget of its service-level objectives.
 */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Classifications from './classification.js'

export class Burn extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    if (event.kind === 'request-ended' && event.hop === 'entry') countRequest(event, turn)
  }
}

function countRequest (event: Events.RequestEnded, turn: Controllers.Turn): void {
  const classification = Classifications.classify(event)
  if (classification === undefined || isUnknownService(event, turn)) return
  const counters = turn.board.burn.countersFor(event.service)
  counters.latencyObjective = event.policy.latencyObjective
  counters.availabilityObjective = event.policy.availabilityObjective
  for (const { tally } of counters.windows) tally.add(classification, turn.now)
  if (classification === 'good') return
  const target = event.targets.at(-1)
  if (target !== undefined) counters.targets.add(target, turn.now)
  for (const cause of Classifications.causes(event)) counters.causes.add(cause, turn.now)
}

/** Names of services that never existed would fill the counters. A service that lost all its targets is still counted. */
function isUnknownService (event: Events.RequestEnded, turn: Controllers.Turn): boolean {
  const isRefusedAsUnknown = event.end.kind === 'refused' && event.end.refusal.kind === 'service-unknown'
  return isRefusedAsUnknown && !turn.board.burn.byService.has(event.service)
}
