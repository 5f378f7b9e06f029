/** Keeps one topic of the shared log in sync. */
import * as Timers from 'node:timers/promises'
import * as Decisions from '@jasminedale/decisions'
import type * as Logs from '../observation/log.js'
import type * as SharedLogs from './shared-log.js'

/** Longest pause between two tries while the log does not answer. */
const RETRY_MAXIMUM = Decisions.Clock.milliseconds(800)
const RETRY_MINIMUM = Decisions.Clock.milliseconds(100)

export interface FollowerParts {
  readonly log: Logs.Log
  readonly clock: Decisions.Clock.Clock
  readonly sharedLog: SharedLogs.SharedLog
  readonly random: Decisions.Random.Random
}

export interface Subscription {
  readonly topic: SharedLogs.Topic
  /** Time for which one read waits for news: bounds how long a silent connection goes unnoticed. */
  readonly wait: Decisions.Clock.Milliseconds
  /** Pause after news, so that a series of changes costs one read. */
  readonly collect: Decisions.Clock.Milliseconds
  apply (record: SharedLogs.KeyedRecord): void
  /** Called after each answer of the log. */
  synchronized (): void
}

export class Follower {
  private offset: number | undefined
  private stopped = false
  private failingSince: Decisions.Clock.Milliseconds | undefined
  private failures = 0

  constructor (private readonly parts: FollowerParts, private readonly subscription: Subscription) {}

  /** Milliseconds since the log stopped answering; undefined while it answers. */
  failingFor (now: Decisions.Clock.Milliseconds): number | undefined {
    return this.failingSince === undefined ? undefined : now - this.failingSince
  }

  /** Runs until `stop`. */
  async run (): Promise<void> {
    while (!this.isStopped()) {
      const { sharedLog } = this.parts
      const { topic, wait } = this.subscription
      const read = this.offset === undefined ? await sharedLog.readNewest(topic) : await sharedLog.readFrom(topic, this.offset, wait)
      if (this.isStopped()) return
      if (read.isErr()) await this.failed(read.error)
      else await this.received(read.value)
    }
  }

  stop (): void {
    this.stopped = true
  }

  private isStopped (): boolean {
    return this.stopped
  }

  private async received (batch: SharedLogs.Batch): Promise<void> {
    const { log, clock } = this.parts
    const { topic, collect } = this.subscription
    if (this.failingSince !== undefined) {
      log.info('shared log answers again', { topic, after: Math.round(clock.now() - this.failingSince), failures: this.failures })
      this.failingSince = undefined
      this.failures = 0
    }
    this.offset = batch.nextOffset
    for (const record of batch.records) this.subscription.apply(record)
    this.subscription.synchronized()
    if (batch.records.length > 0 && collect > 0) await Timers.setTimeout(collect)
  }

  private async failed (failure: SharedLogs.LogFailure): Promise<void> {
    const { log, clock, random } = this.parts
    const { topic } = this.subscription
    if (failure.kind === 'truncated') {
      log.info('records of the shared log are gone; reading the newest of each key', { topic, offset: this.offset })
      this.offset = undefined
      return
    }
    if (this.failingSince === undefined) {
      this.failingSince = clock.now()
      log.warn('shared log does not answer', { topic, failure: failure.kind, detail: failure.kind === 'refused' ? failure.status : failure.detail })
    }
    this.failures += 1
    const pause = Math.min(RETRY_MINIMUM * 2 ** (this.failures - 1), RETRY_MAXIMUM)
    await Timers.setTimeout(pause * (0.5 + random.fraction()))
  }
}
