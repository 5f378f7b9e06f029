/** The wall clock of this machine, made steady. */
import * as Decisions from '@jasminedale/decisions'

/** A forward correction above this is taken over at once; the process was paused or the clock was unset. */
const JUMP_MS = 1_000
/** Share of the elapsed time by which smaller corrections are spread out. */
const CORRECTION_RATE = 0.1

/** Whole milliseconds. Never runs backwards: a wall clock that is set back is approached by running slower. */
export class SystemClock extends Decisions.Clock.Clock {
  private offset = Date.now() - performance.now()
  private measuredAt = performance.now()

  now (): Decisions.Clock.Milliseconds {
    const elapsed = performance.now()
    const error = Date.now() - elapsed - this.offset
    const allowance = (elapsed - this.measuredAt) * CORRECTION_RATE
    this.offset += error > JUMP_MS ? error : Math.max(-allowance, Math.min(allowance, error))
    this.measuredAt = elapsed
    return Decisions.Clock.milliseconds(Math.floor(elapsed + this.offset))
  }
}
