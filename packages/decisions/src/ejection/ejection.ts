/** Takes unhealthy targets out of service and back, within the capacity floor. */
import * as Controllers from '../core/controller.js'

export class Ejection extends Controllers.Controller {
  react (): void {
    // Not implemented yet.
  }
}
