/** Weighs evidence about the health of targets. */
import * as Controllers from '../core/controller.js'

export class Detection extends Controllers.Controller {
  react (): void {
    // Not implemented yet.
  }
}
