/** Brings published configurations into force. */
import * as Controllers from '../core/controller.js'

export class Publication extends Controllers.Controller {
  react (): void {
    // Not implemented yet.
  }
}
