/** The baseline that an entry node sends with a forwarded request. */
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Evidence from './evidence.js'

/**
 * Mean and standard deviation of the log service time, and the error rate, over the other targets of the service
 * as this node observed them as an entry. Undefined until another target has answered.
 */
export function baselineFor (evidence: Evidence.Evidence, service: Ids.Service, target: Ids.TargetId): Events.Baseline | undefined {
  return evidence.statisticsByService.get(service)?.baselineWithout(target)
}
