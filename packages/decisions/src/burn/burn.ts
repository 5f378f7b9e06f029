/** Counts good and bad requests for the service-level burn report, as callers see them. */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Judgements from './judgement.js'

export class Burn extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    if (event.kind === 'request-ended' && event.hop === 'entry') count(event, turn)
  }
}

function count (event: Events.RequestEnded, turn: Controllers.Turn): void {
  const judgement = Judgements.judge(event)
  if (judgement === undefined || isUnheardOf(event, turn)) return
  const counters = turn.board.burn.use(event.service)
  counters.latencyObjective = event.policy.latencyObjective
  counters.availabilityObjective = event.policy.availabilityObjective
  for (const { ring } of counters.rings) ring.add(judgement, turn.now)
  if (judgement === 'good') return
  const target = event.targets.at(-1)
  if (target !== undefined) counters.targets.add(target, turn.now)
  for (const cause of Judgements.causes(event)) counters.causes.add(cause, turn.now)
}

/** Invented names would fill the counters; a service that lost all its targets is still counted. */
function isUnheardOf (event: Events.RequestEnded, turn: Controllers.Turn): boolean {
  const unknown = event.end.kind === 'refused' && event.end.refusal.kind === 'service-unknown'
  return unknown && !turn.board.burn.byService.has(event.service)
}
