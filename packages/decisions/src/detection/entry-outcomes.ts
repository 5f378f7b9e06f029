/** Records the outcomes of attempts that this node made as an entry. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import type * as Ids from '../core/ids.js'
import type * as Evidence from './evidence.js'
import * as ServiceStatistics from './service-statistics.js'

/** Weight of the newest sample in the moving averages. */
const AVERAGE_WEIGHT = 0.1

/** Service and target of an attempt. `isRemote` when the target runs on another VM. */
interface AttemptTarget {
  readonly service: Ids.Service
  readonly target: Ids.TargetId
  readonly isRemote: boolean
}

function findAttemptTarget (event: Events.AttemptResponded | Events.AttemptFinished, context: Controllers.StepContext): AttemptTarget | undefined {
  const request = context.board.requests.get(event.request)
  const attempt = request?.attempts.find(candidate => candidate.attempt === event.attempt)
  if (request === undefined || attempt?.target === undefined) return undefined
  return { service: request.arrival.service, target: attempt.target, isRemote: attempt.hop !== 'dispatch' }
}

function statisticsFor (evidence: Evidence.Evidence, service: Ids.Service): ServiceStatistics.ServiceStatistics {
  const statistics = evidence.statisticsByService.get(service) ?? new ServiceStatistics.ServiceStatistics()
  evidence.statisticsByService.set(service, statistics)
  return statistics
}

/** Records a response head. Responses that shed load are no evidence about the target. */
export function recordResponse (event: Events.AttemptResponded, hasFailed: boolean, context: Controllers.StepContext): void {
  const attempted = findAttemptTarget(event, context)
  if (attempted === undefined || event.shed) return
  const statistics = statisticsFor(context.board.evidence, attempted.service)
  if (hasFailed) statistics.addFailure(attempted.target, context.now)
  else statistics.addAnswer(attempted.target, event.serviceTime, context.now)
  if (attempted.isRemote) updateRemoteAverages(context.board.evidence, attempted.target, hasFailed ? undefined : event.serviceTime)
}

/** Records an attempt that failed. Attempts that ended otherwise were recorded at the response head. */
export function recordFailure (event: Events.AttemptFinished, context: Controllers.StepContext): void {
  const attempted = findAttemptTarget(event, context)
  if (attempted === undefined) return
  statisticsFor(context.board.evidence, attempted.service).addFailure(attempted.target, context.now)
  if (attempted.isRemote) updateRemoteAverages(context.board.evidence, attempted.target, undefined)
}

/** Updates the averages of a remote target. Undefined `serviceTime` counts as an error. */
function updateRemoteAverages (evidence: Evidence.Evidence, target: Ids.TargetId, serviceTime: number | undefined): void {
  const known = evidence.remote.get(target) ?? { score: 0, latency: Clock.milliseconds(serviceTime ?? 0), errorRate: 0, samples: 0 }
  const latency = serviceTime === undefined ? known.latency : known.latency + AVERAGE_WEIGHT * (serviceTime - known.latency)
  evidence.remote.set(target, {
    score: 0,
    latency: Clock.milliseconds(latency),
    errorRate: known.errorRate + AVERAGE_WEIGHT * ((serviceTime === undefined ? 1 : 0) - known.errorRate),
    samples: known.samples + 1
  })
}
