/** Per-target concurrency and queues on the target's host. */
import * as Clock from '../core/clock.js'
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'
import * as Refusals from '../core/refusal.js'

export class Admission extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    if (event.kind === 'admission-wanted') admit(event, turn)
  }
}

function admit (event: Events.AdmissionWanted, turn: Controllers.Turn): void {
  const { request: id, attempt } = event
  const refuse = (refusal: Refusals.Refusal): void => { turn.raise({ kind: 'attempt-refused', request: id, attempt, refusal }) }
  const request = turn.board.requests.get(id)
  if (request === undefined) return
  const target = turn.board.targets.get(event.target)
  if (target?.address === undefined) {
    refuse(Refusals.notRun('target-unknown', `No backend server ${event.target} is announced on this node.`))
    return
  }
  if (target.state === 'leaving') {
    refuse(Refusals.notRun('target-leaving', `Backend server ${event.target} is shutting down.`))
    return
  }
  const remaining = Clock.between(turn.now, request.deadline)
  turn.emit({ kind: 'dispatch', request: id, attempt, target: target.target, address: target.address, remaining })
}
