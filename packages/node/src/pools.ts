/** Pooled connections to other nodes and to backend servers, kept open between requests. */
import type * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'

/** Connections a target; both users state about 400. */
const CONNECTIONS_PER_ADDRESS = 400
const CONNECT_TIMEOUT_MS = 1_000
/** Shorter than the receiving node's 75 s, so that the sender closes idle connections first. */
const IDLE_CONNECTION_MS = 60_000
/** Pools without use are closed after this time. */
const IDLE_POOL_MS = 300_000
const SWEEP_MS = 10_000

interface Entry {
  readonly pool: Undici.Pool
  usedAt: number
}

interface Parts {
  readonly settings: { readonly address: Decisions.Ids.Endpoint }
}

export class Pools {
  private readonly byAddress = new Map<Decisions.Ids.Endpoint, Entry>()
  private readonly localAddress: string
  private sweptAt = 0

  constructor (parts: Parts) {
    this.localAddress = parts.settings.address.slice(0, parts.settings.address.lastIndexOf(':'))
  }

  get size (): number {
    return this.byAddress.size
  }

  to (address: Decisions.Ids.Endpoint): Undici.Pool {
    const now = performance.now()
    const known = this.byAddress.get(address)
    if (known !== undefined) {
      known.usedAt = now
      return known.pool
    }
    const pool = this.open(address)
    this.byAddress.set(address, { pool, usedAt: now })
    return pool
  }

  /** New requests get new connections; requests in flight on the old ones finish. */
  retire (address: Decisions.Ids.Endpoint): void {
    const entry = this.byAddress.get(address)
    if (entry === undefined) return
    this.byAddress.delete(address)
    void entry.pool.close()
  }

  /** Closes pools that have not been used for a while. Called at every tick. */
  sweep (): void {
    const now = performance.now()
    if (now - this.sweptAt < SWEEP_MS) return
    this.sweptAt = now
    for (const [address, entry] of this.byAddress) {
      const busy = entry.pool.stats.running + entry.pool.stats.queued > 0
      if (!busy && now - entry.usedAt > IDLE_POOL_MS) this.retire(address)
    }
  }

  async destroy (): Promise<void> {
    const pools = [...this.byAddress.values()].map(entry => entry.pool)
    this.byAddress.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  /** Timeouts of head and body are the deadline's, which the attempt keeps itself. */
  private open (address: Decisions.Ids.Endpoint): Undici.Pool {
    return new Undici.Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_ADDRESS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      localAddress: this.localAddress,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS
    })
  }
}
