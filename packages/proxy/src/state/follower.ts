/** Reads one topic of the shared log continuously: first the newest record of each key, then each change. */
import * as Decisions from '@jasminedale/decisions'
import * as Delays from '../delay.js'
import type * as Logs from '../observation/log.js'
import type * as SharedLogs from './shared-log.js'

/** Bounds of the exponential backoff while the shared log does not answer; the actual delay is shorter by up to half, at random. */
const MAXIMUM_RETRY_DELAY = Decisions.Clock.milliseconds(800)
const MINIMUM_RETRY_DELAY = Decisions.Clock.milliseconds(100)
/** A log that failed is first asked for an answer at once: a read that waits would show only later that it still fails. */
const WITHOUT_WAIT = Decisions.Clock.milliseconds(0)

export interface FollowerDependencies {
  readonly log: Logs.Log
  readonly clock: Decisions.Clock.Clock
  readonly sharedLog: SharedLogs.SharedLog
  readonly random: Decisions.Random.Random
}

export interface Subscription {
  readonly topic: SharedLogs.Topic
  /** Time for which one read waits for new records. */
  readonly pollTimeout: Decisions.Clock.Milliseconds
  /** Delay after new records, so that one read returns a series of changes. */
  batchDelay (): Decisions.Clock.Milliseconds
  apply (record: SharedLogs.KeyedRecord): void
  /** Called when the newest record of each key was read, once these records are applied. */
  onNewestApplied?: (records: readonly SharedLogs.KeyedRecord[]) => void
  /** Called after each successful read, once its records are applied; also when there were none. */
  onBatchApplied (): void
}

export class Follower {
  /** Undefined when the newest record of each key is to be read next. */
  private position: SharedLogs.Position | undefined
  private stopped = false
  private failingSince: Decisions.Clock.Milliseconds | undefined
  private failureCount = 0

  constructor (private readonly dependencies: FollowerDependencies, private readonly subscription: Subscription) {}

  /** Milliseconds since the first of the current series of failed reads; undefined after a successful read. */
  failureDuration (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.failingSince === undefined ? undefined : now - this.failingSince
  }

  /** Reads until `stop` is called. */
  async run (): Promise<void> {
    while (!this.isStopped()) {
      const { sharedLog, clock } = this.dependencies
      const { topic, pollTimeout } = this.subscription
      const startedAt = clock.now()
      const read = this.position === undefined ? await sharedLog.readNewest(topic) : await sharedLog.readFrom(topic, this.position, this.failingSince === undefined ? pollTimeout : WITHOUT_WAIT)
      if (this.isStopped()) return
      if (read.isErr()) await this.handleFailure(read.error, Decisions.Clock.between(startedAt, clock.now()))
      else await this.applyBatch(read.value)
    }
  }

  stop (): void {
    this.stopped = true
  }

  private isStopped (): boolean {
    return this.stopped
  }

  private async applyBatch (batch: SharedLogs.Batch): Promise<void> {
    const { log, clock } = this.dependencies
    const { topic } = this.subscription
    if (this.failingSince !== undefined) {
      log.info('shared log answers again', { topic, after: Math.round(clock.now() - this.failingSince), failures: this.failureCount })
      this.failingSince = undefined
      this.failureCount = 0
    }
    const isNewestOfEachKey = this.position === undefined
    this.position = batch.next
    for (const record of newestOfEachKey(batch.records)) this.subscription.apply(record)
    if (isNewestOfEachKey) this.subscription.onNewestApplied?.(batch.records)
    this.subscription.onBatchApplied()
    const batchDelay = this.subscription.batchDelay()
    if (batch.records.length > 0 && batchDelay > 0) await Delays.delay(batchDelay)
  }

  /** @param elapsed Time for which the failed read has been waiting. */
  private async handleFailure (failure: SharedLogs.LogFailure, elapsed: Decisions.Clock.Milliseconds): Promise<void> {
    const { log, clock, random } = this.dependencies
    const { topic } = this.subscription
    if (failure.kind === 'truncated') {
      log.info('shared log was truncated after the last offset; reading the newest record of each key', { topic, offset: this.position?.offset })
      this.position = undefined
      return
    }
    if (failure.kind === 'restored') {
      log.info('shared log was restored from an older copy; reading the newest record of each key', { topic, epoch: failure.epoch, before: this.position?.epoch, offset: this.position?.offset })
      this.position = undefined
      // All nodes notice at once.
      await Delays.delay(MINIMUM_RETRY_DELAY * random.fraction())
      return
    }
    if (this.failingSince === undefined) {
      this.failingSince = clock.now()
      log.warn('shared log does not answer', { topic, failure: failure.kind, detail: failure.kind === 'refused' ? failure.status : failure.detail, elapsed: Math.round(elapsed) })
    }
    this.failureCount += 1
    const retryDelay = Math.min(MINIMUM_RETRY_DELAY * 2 ** (this.failureCount - 1), MAXIMUM_RETRY_DELAY)
    await Delays.delay(retryDelay * (1 - 0.5 * random.fraction()))
  }
}

/** Later records of a key replace earlier ones, so that a series of changes costs no more than the last of them. */
function newestOfEachKey (records: readonly SharedLogs.KeyedRecord[]): Iterable<SharedLogs.KeyedRecord> {
  return new Map(records.map(record => [record.key, record])).values()
}
