/** Counts good and bad requests for the service-level burn report. */
import * as Controllers from '../core/controller.js'

export class Burn extends Controllers.Controller {
  react (): void {
    // Not implemented yet.
  }
}
