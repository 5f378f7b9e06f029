/** Logs when the local target becomes much slower than an average one, and when it no longer is. */
import type * as Logs from '../observation/log.js'

const SLOW_RATIO = 3
/** Below the ratio at which a target counts as slow, so that one at the border is not logged again and again. */
const RECOVERED_RATIO = 1.5

export class SlownessLog {
  private isSlow = false

  constructor (private readonly log: Logs.Log) {}

  observe (slowness: number, fields: Logs.Fields): void {
    if (this.isSlow ? slowness > RECOVERED_RATIO : slowness < SLOW_RATIO) return
    this.isSlow = !this.isSlow
    this.log.info(this.isSlow ? 'local target is slower than others for the same requests' : 'local target is no longer slower than others', { slowness: Math.round(slowness * 100) / 100, ...fields })
  }
}
