/** Routing's access to the baselines of Detection. */
import type * as Blackboards from '../core/blackboard.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import * as Baselines from '../detection/baseline.js'

/** Statistics of the service's targets other than `target`; undefined while none of them has responded. */
export function baselineFor (board: Blackboards.Blackboard, service: Ids.Service, target: Ids.TargetId): Events.Baseline | undefined {
  return Baselines.baselineFor(board.evidence, service, target)
}
