/**
 * Concurrency limit of one target between 1 and its announced slots. It falls when latency
 * rises with concurrency or the target sheds load, and rises again while all of it is used.
 */
import * as Clock from '../core/clock.js'

/** Responses per adjustment; fewer would follow the noise of single requests. */
const WINDOW_SAMPLES = 20
/** Latency may rise by this factor over the baseline before the limit falls. */
const TOLERANCE = 2
const STEP_DOWN_MINIMUM = 0.7
const STEP_UP = 0.5
const SHED_FACTOR = 0.8
/** Responses in flight together tell of one overload, so they lower the limit once. */
const SHED_INTERVAL = Clock.milliseconds(200)
/** Share of a window by which the baseline follows a slower target. */
const BASELINE_GAIN = 0.02

export class ConcurrencyLimit {
  private exact: number
  private baseline: number | undefined
  private sum = 0
  private samples = 0
  /** Whether the limit was reached in this window; an unused limit says nothing about more. */
  private reached = false
  private shedAt: Clock.Milliseconds | undefined

  constructor (private slots: number) {
    this.exact = Math.max(1, slots)
  }

  get limit (): number {
    return Math.max(1, Math.floor(this.exact + Number.EPSILON))
  }

  /** The target announced another number of slots. */
  resize (slots: number): void {
    if (slots === this.slots) return
    this.slots = slots
    this.exact = Math.min(Math.max(1, slots), Math.max(this.exact, 1))
  }

  /** A response took `latency`; `running` requests, itself included, were at the target. */
  responded (latency: Clock.Milliseconds, running: number): void {
    this.sum += Math.max(0, latency)
    this.samples += 1
    if (running >= this.limit) this.reached = true
    if (this.samples < WINDOW_SAMPLES) return
    this.adjust(this.sum / this.samples)
    this.sum = 0
    this.samples = 0
    this.reached = false
  }

  shed (now: Clock.Milliseconds): void {
    if (this.shedAt !== undefined && now - this.shedAt < SHED_INTERVAL) return
    this.shedAt = now
    this.exact = Math.max(1, this.exact * SHED_FACTOR)
    this.samples = 0
    this.sum = 0
  }

  private adjust (recent: number): void {
    const baseline = Math.min(this.baseline ?? recent, recent)
    const gradient = recent <= 0 ? 1 : TOLERANCE * baseline / recent
    if (gradient < 1 && this.limit === 1) {
      // Slow without any concurrency: the target itself is slower, and the limit cannot help.
      this.baseline = recent
    } else {
      this.baseline = baseline + BASELINE_GAIN * (recent - baseline)
      if (gradient < 1) this.exact = Math.max(1, this.exact * Math.max(STEP_DOWN_MINIMUM, gradient))
    }
    if (gradient >= 1 && this.reached) this.exact = Math.min(Math.max(1, this.slots), this.exact + STEP_UP)
  }
}
