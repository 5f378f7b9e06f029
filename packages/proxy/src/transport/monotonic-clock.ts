/** Time since the start of the process, unaffected by changes of the system time. */
import * as Decisions from '@jasminedale/decisions'

export class MonotonicClock extends Decisions.Clock.Clock {
  now (): Decisions.Clock.Milliseconds {
    return Decisions.Clock.milliseconds(performance.now())
  }
}
