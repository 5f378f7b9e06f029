/** Keeps the table of nodes by gossip and failure detection. */
import * as Controllers from '../core/controller.js'

export class Membership extends Controllers.Controller {
  react (): void {
    // Not implemented yet.
  }
}
