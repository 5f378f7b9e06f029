/** The one place where Routing asks for the entry's baseline of a service. */
import type * as Blackboards from '../core/blackboard.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Evidence from '../detection/evidence.js'

/** The entry's view of the service's targets other than `target`; absent while none of them has answered. */
export function baselineFor (board: Blackboards.Blackboard, service: Ids.Service, target: Ids.TargetId): Events.Baseline | undefined {
  const others: Evidence.TargetEvidence[] = []
  for (const id of board.targets.byService.get(service) ?? []) {
    const known = id === target ? undefined : board.evidence.remote.get(id)
    if (known !== undefined && known.samples > 0 && known.latency > 0) others.push(known)
  }
  const samples = others.reduce((sum, entry) => sum + entry.samples, 0)
  if (samples === 0) return undefined
  const weighted = (value: (entry: Evidence.TargetEvidence) => number): number =>
    others.reduce((sum, entry) => sum + entry.samples * value(entry), 0) / samples
  const meanLogLatency = weighted(entry => Math.log(entry.latency))
  const deviation = Math.sqrt(weighted(entry => (Math.log(entry.latency) - meanLogLatency) ** 2))
  return { meanLogLatency, deviation, errorRate: weighted(entry => entry.errorRate), samples }
}
