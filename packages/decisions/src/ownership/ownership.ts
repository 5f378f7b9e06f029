/** Runs keyed non-idempotent requests at most once. */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'

export class Ownership extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    if (event.kind !== 'request-cleared') return
    const request = turn.board.requests.get(event.request)
    if (request === undefined) return
    const { hop, target } = request.arrival
    if (hop === 'host' && target !== undefined) {
      turn.raise({ kind: 'admission-wanted', request: event.request, attempt: request.firstAttempt, target })
      return
    }
    turn.raise({ kind: 'placement-wanted', request: event.request })
  }
}
