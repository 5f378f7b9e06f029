/**
 * Adaptive concurrency limit of one target, between 1 and its announced slots. It decreases when latency rises
 * with concurrency or the target sheds load, and increases again while it is fully used.
 * The instance fields are part of the explain report, so their names stay.
 */
import * as Clock from '../core/clock.js'

/** Responses per adjustment. With fewer, the limit would follow the noise of single requests. */
const WINDOW_SAMPLES = 20
/** The limit decreases when the mean latency exceeds the baseline by more than this factor. */
const LATENCY_RATIO_MAXIMUM = 2
/** Bounds the decrease of one window. */
const DECREASE_FACTOR_MINIMUM = 0.7
/** Slots that are added per window. */
const INCREASE_STEP = 0.5
/** Factor by which shed load decreases the limit. */
const SHED_DECREASE_FACTOR = 0.8
/** Requests in flight at the same time report the same overload, so they decrease the limit only once. */
const SHED_DECREASE_INTERVAL = Clock.milliseconds(200)
/** Weight of a window's mean latency in the baseline when the target gets slower. */
const BASELINE_GAIN = 0.02

export class ConcurrencyLimit {
  /** The limit before rounding down. */
  private exact: number
  /** Latency without overload, in ms. */
  private baseline: number | undefined
  /** Sum of the latencies in this window, in ms. */
  private sum = 0
  private samples = 0
  /** Whether the limit was reached in this window; if not, the latencies do not show whether more could run. */
  private reached = false
  private shedAt: Clock.Milliseconds | undefined

  constructor (private slots: number) {
    this.exact = Math.max(1, slots)
  }

  get limit (): number {
    return Math.max(1, Math.floor(this.exact + Number.EPSILON))
  }

  /** Applies the number of slots that the target announced. */
  resize (slots: number): void {
    if (slots === this.slots) return
    this.slots = slots
    this.exact = Math.min(Math.max(1, slots), Math.max(this.exact, 1))
  }

  /** Records a response that took `latency` while `running` requests, itself included, ran on the target. */
  recordResponse (latency: Clock.Milliseconds, running: number): void {
    this.sum += Math.max(0, latency)
    this.samples += 1
    if (running >= this.limit) this.reached = true
    if (this.samples < WINDOW_SAMPLES) return
    this.adjust(this.sum / this.samples)
    this.sum = 0
    this.samples = 0
    this.reached = false
  }

  /** Decreases the limit because the target shed load. */
  recordShed (now: Clock.Milliseconds): void {
    if (this.shedAt !== undefined && now - this.shedAt < SHED_DECREASE_INTERVAL) return
    this.shedAt = now
    this.exact = Math.max(1, this.exact * SHED_DECREASE_FACTOR)
    this.samples = 0
    this.sum = 0
  }

  private adjust (meanLatency: number): void {
    const baseline = Math.min(this.baseline ?? meanLatency, meanLatency)
    const gradient = meanLatency <= 0 ? 1 : LATENCY_RATIO_MAXIMUM * baseline / meanLatency
    if (gradient < 1 && this.limit === 1) {
      // The latency rose without concurrency: the target itself got slower, and a lower limit cannot help.
      this.baseline = meanLatency
    } else {
      this.baseline = baseline + BASELINE_GAIN * (meanLatency - baseline)
      if (gradient < 1) this.exact = Math.max(1, this.exact * Math.max(DECREASE_FACTOR_MINIMUM, gradient))
    }
    if (gradient >= 1 && this.reached) this.exact = Math.min(Math.max(1, this.slots), this.exact + INCREASE_STEP)
  }
}
