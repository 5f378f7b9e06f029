/** Takes a slot of the local target for a request, and records the demand. */
import type * as DependencyControls from '../dependencies/dependency-control.js'
import type * as HostedRequests from './hosted-request.js'
import type * as TargetCapacities from './target-capacity.js'

type DemandRecorder = Pick<DependencyControls.DependencyControl, 'recordOffer' | 'recordWaiting' | 'isEnabled'>

/** As `TargetCapacity.acquire`. A busy target is no sign of demand: another one gets the request. */
export async function acquire (capacity: TargetCapacities.TargetCapacity, request: HostedRequests.HostedRequest, recorder: DemandRecorder | undefined): ReturnType<TargetCapacities.TargetCapacity['acquire']> {
  if (recorder?.isEnabled !== true) return await capacity.acquire(request)
  let leaveQueue: (() => void) | undefined
  const result = await capacity.acquire({
    ...request,
    onQueued: () => {
      recorder.recordOffer(request, false)
      leaveQueue = recorder.recordWaiting(request)
      request.onQueued()
    }
  })
  if (leaveQueue !== undefined) leaveQueue()
  else if (result !== 'target-busy') recorder.recordOffer(request, result !== 'started')
  return result
}
