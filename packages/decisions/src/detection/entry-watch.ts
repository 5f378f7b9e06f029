/** Collects outcomes of this node's own attempts as an entry. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Evidence from './evidence.js'
import * as ServiceStatistics from './service-statistics.js'

/** Weight of the newest sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1

interface Use {
  readonly service: Ids.Service
  readonly target: Ids.TargetId
  readonly remote: boolean
}

function useOf (event: Events.AttemptResponded | Events.AttemptFinished, turn: Controllers.Turn): Use | undefined {
  const request = turn.board.requests.get(event.request)
  const attempt = request?.attempts.find(made => made.attempt === event.attempt)
  if (request === undefined || attempt?.target === undefined) return undefined
  return { service: request.arrival.service, target: attempt.target, remote: attempt.hop !== 'dispatch' }
}

function viewOf (evidence: Evidence.Evidence, service: Ids.Service): ServiceStatistics.ServiceStatistics {
  const view = evidence.services.get(service) ?? new ServiceStatistics.ServiceStatistics()
  evidence.services.set(service, view)
  return view
}

/** Takes the head of a response into the entry's view. Shed responses are no evidence. */
export function responded (event: Events.AttemptResponded, failed: boolean, turn: Controllers.Turn): void {
  const use = useOf(event, turn)
  if (use === undefined || event.shed) return
  const view = viewOf(turn.board.evidence, use.service)
  if (failed) view.addFailure(use.target, turn.now)
  else view.addAnswer(use.target, event.serviceTime, turn.now)
  if (use.remote) average(turn.board.evidence, use.target, failed ? undefined : event.serviceTime)
}

/** Takes the failure of an attempt into the entry's view; other ends were seen at the response head. */
export function failed (event: Events.AttemptFinished, turn: Controllers.Turn): void {
  const use = useOf(event, turn)
  if (use === undefined) return
  viewOf(turn.board.evidence, use.service).addFailure(use.target, turn.now)
  if (use.remote) average(turn.board.evidence, use.target, undefined)
}

function average (evidence: Evidence.Evidence, target: Ids.TargetId, serviceTime: number | undefined): void {
  const known = evidence.remote.get(target) ?? { score: 0, latency: Clock.milliseconds(serviceTime ?? 0), errorRate: 0, samples: 0 }
  const latency = serviceTime === undefined ? known.latency : known.latency + AVERAGE_WEIGHT * (serviceTime - known.latency)
  evidence.remote.set(target, {
    score: 0,
    latency: Clock.milliseconds(latency),
    errorRate: known.errorRate + AVERAGE_WEIGHT * ((serviceTime === undefined ? 1 : 0) - known.errorRate),
    samples: known.samples + 1
  })
}
