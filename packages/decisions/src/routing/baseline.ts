/** The one place where Routing asks for the entry's baseline of a service. */
import type * as Blackboards from '../core/blackboard.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Baselines from '../detection/baseline.js'

/** The entry's view of the service's targets other than `target`; absent while none of them has answered. */
export function baselineFor (board: Blackboards.Blackboard, service: Ids.Service, target: Ids.TargetId): Events.Baseline | undefined {
  return Baselines.baselineFor(board.evidence, service, target)
}
