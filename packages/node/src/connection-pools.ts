/** Connection pools for other nodes and backend servers. */
import type * as Decisions from '@jasminedale/decisions'
import * as Undici from 'undici'

/** Both users of the fleet state about 400 connections per target. */
const CONNECTIONS_PER_ADDRESS = 400
const CONNECT_TIMEOUT_MS = 1_000
/** Shorter than the 75 s of the receiving node, so that the sender closes idle connections first. */
const IDLE_CONNECTION_MS = 60_000
const IDLE_POOL_MS = 300_000
const SWEEP_INTERVAL_MS = 10_000

interface PoolEntry {
  readonly pool: Undici.Pool
  usedAt: number
}

interface ConnectionPoolsParts {
  readonly settings: { readonly address: Decisions.Ids.Endpoint }
}

export class ConnectionPools {
  private readonly byAddress = new Map<Decisions.Ids.Endpoint, PoolEntry>()
  private readonly localAddress: string
  private sweptAt = 0

  constructor (parts: ConnectionPoolsParts) {
    this.localAddress = parts.settings.address.slice(0, parts.settings.address.lastIndexOf(':'))
  }

  get size (): number {
    return this.byAddress.size
  }

  poolFor (address: Decisions.Ids.Endpoint): Undici.Pool {
    const now = performance.now()
    const existing = this.byAddress.get(address)
    if (existing !== undefined) {
      existing.usedAt = now
      return existing.pool
    }
    const pool = this.createPool(address)
    this.byAddress.set(address, { pool, usedAt: now })
    return pool
  }

  /** Closes the pool once its requests in flight have finished. New requests use a new pool. */
  retire (address: Decisions.Ids.Endpoint): void {
    const entry = this.byAddress.get(address)
    if (entry === undefined) return
    this.byAddress.delete(address)
    void entry.pool.close()
  }

  /** Closes pools without requests in flight that have been idle for `IDLE_POOL_MS`. Called on every tick. */
  sweep (): void {
    const now = performance.now()
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return
    this.sweptAt = now
    for (const [address, entry] of this.byAddress) {
      const isBusy = entry.pool.stats.running + entry.pool.stats.queued > 0
      if (!isBusy && now - entry.usedAt > IDLE_POOL_MS) this.retire(address)
    }
  }

  async destroy (): Promise<void> {
    const pools = [...this.byAddress.values()].map(entry => entry.pool)
    this.byAddress.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  /** Header and body timeouts are off, because each attempt enforces the deadline of its request. */
  private createPool (address: Decisions.Ids.Endpoint): Undici.Pool {
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
