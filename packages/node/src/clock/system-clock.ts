/** Monotonic clock that follows the wall clock of this machine. */
import * as Decisions from '@jasminedale/decisions'

/** Larger forward corrections are applied immediately, because the process was paused or the clock had not been set. */
const MAX_GRADUAL_CORRECTION_MS = 1_000
/** Maximum correction as a share of the elapsed time, for smaller forward corrections and all backward corrections. */
const CORRECTION_RATE = 0.1

/** Returns whole milliseconds and never runs backwards: after the wall clock is set back, this clock runs slower until they agree. */
export class SystemClock extends Decisions.Clock.Clock {
  private offset = Date.now() - performance.now()
  private correctedAt = performance.now()

  now (): Decisions.Clock.Milliseconds {
    const monotonicNow = performance.now()
    const deviation = Date.now() - monotonicNow - this.offset
    const maxCorrection = (monotonicNow - this.correctedAt) * CORRECTION_RATE
    this.offset += deviation > MAX_GRADUAL_CORRECTION_MS ? deviation : Math.max(-maxCorrection, Math.min(maxCorrection, deviation))
    this.correctedAt = monotonicNow
    return Decisions.Clock.milliseconds(Math.floor(monotonicNow + this.offset))
  }
}
