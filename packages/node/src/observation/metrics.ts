/** Counters, gauges and timings, sent with the statsd protocol when an address is configured. */
import * as HotShots from 'hot-shots'
import type * as Decisions from '@jasminedale/decisions'
import * as Endpoints from '../endpoint.js'

const PREFIX = 'jasminedale.'

export abstract class Metrics {
  /** Counter values since the start of the process; reported by `status`. */
  readonly totals = new Map<string, number>()

  count (name: string, tags: Readonly<Record<string, string>> = {}): void {
    this.add(name, 1, tags)
  }

  add (name: string, amount: number, tags: Readonly<Record<string, string>> = {}): void {
    this.totals.set(name, (this.totals.get(name) ?? 0) + amount)
    this.sendCount(name, amount, tags)
  }

  abstract time (name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void
  abstract gauge (name: string, value: number): void
  abstract close (): void
  protected abstract sendCount (name: string, amount: number, tags: Readonly<Record<string, string>>): void
}

/** Keeps the totals for `status` and sends nothing; used when no statsd address is configured. */
export class TotalsOnlyMetrics extends Metrics {
  time (): void { /* No statsd address is configured. */ }
  gauge (): void { /* No statsd address is configured. */ }
  close (): void { /* No socket is open. */ }
  protected sendCount (): void { /* No statsd address is configured. */ }
}

export class StatsdMetrics extends Metrics {
  private readonly client: HotShots.StatsD

  constructor (address: Decisions.Ids.Endpoint, node: string, onError: (error: Error) => void) {
    super()
    const { host, port } = Endpoints.parse(address)
    this.client = new HotShots.StatsD({ host, port, prefix: PREFIX, globalTags: { node }, errorHandler: onError, maxBufferSize: 1_200 })
  }

  time (name: string, milliseconds: number, tags: Readonly<Record<string, string>> = {}): void {
    this.client.timing(name, milliseconds, { ...tags })
  }

  gauge (name: string, value: number): void {
    this.client.gauge(name, value)
  }

  close (): void {
    this.client.close()
  }

  protected sendCount (name: string, amount: number, tags: Readonly<Record<string, string>>): void {
    this.client.increment(name, amount, { ...tags })
  }
}
