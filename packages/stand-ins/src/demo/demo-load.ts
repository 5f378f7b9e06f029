/** Load of the demo: reads and orders, sent by stand-in callers through all nodes in round-robin order. */
import * as Callers from '../caller.js'

const READ_INTERVAL_MS = 5
const CHECK_INTERVAL_MS = 200
const ORDER_ATTEMPTS = 8

export interface OrderReport {
  readonly sent: number
  readonly completed: number
  readonly refused: number
  /** Resends that were answered with the stored response of the first send. */
  readonly replayed: number
  readonly reasons: readonly string[]
}

export class DemoLoad {
  readonly caller: Callers.Caller
  private readonly orderCaller: Callers.Caller

  constructor (nodes: readonly string[]) {
    this.caller = new Callers.Caller({ nodes, attempts: 3 })
    this.orderCaller = new Callers.Caller({ nodes, attempts: ORDER_ATTEMPTS })
  }

  async close (): Promise<void> {
    await Promise.all([this.caller.close(), this.orderCaller.close()])
  }

  wrongAnswers (): number {
    return [this.caller, this.orderCaller].reduce((sum, caller) => sum + (caller.counts.get('wrong-answer') ?? 0) + (caller.counts.get('broken') ?? 0), 0)
  }

  async readsFor (duration: number): Promise<void> {
    await this.readsUntil(() => Promise.resolve(undefined), duration)
  }

  /** Sends reads until `check` resolves to a value. Returns undefined after `timeout` ms without one. */
  async readsUntil<Value> (check: () => Promise<Value | undefined>, timeout: number): Promise<Value | undefined> {
    const until = performance.now() + timeout
    const pending: Promise<unknown>[] = []
    let nextCheckAt = performance.now()
    let found: Value | undefined
    while (found === undefined && performance.now() < until) {
      pending.push(this.caller.call({ service: 'accounts', method: 'GET', path: `/accounts/${pending.length}` }))
      await new Promise(resolve => setTimeout(resolve, READ_INTERVAL_MS))
      if (performance.now() < nextCheckAt) continue
      nextCheckAt = performance.now() + CHECK_INTERVAL_MS
      found = await check().catch(() => undefined)
    }
    await Promise.all(pending)
    return found
  }

  /** Sends orders. Each is sent again with the same key once it was answered. */
  async orders (count: number): Promise<OrderReport> {
    const results = await Promise.all(Array.from({ length: count }, async (_, index) => {
      const key = await this.orderCaller.key()
      const order: Callers.Call = { service: 'accounts', method: 'POST', path: '/accounts/orders', body: `order ${index}`, key }
      const first = await this.orderCaller.call(order)
      const again = await this.orderCaller.call(order)
      return { first, again }
    }))
    const refusals = results.flatMap(({ first }) => first.kind === 'refused' ? [`${first.type.split(':').at(-1) ?? ''}: ${first.detail}`] : [])
    return {
      sent: count,
      completed: results.filter(({ first }) => first.kind === 'answered').length,
      refused: refusals.length,
      replayed: results.filter(({ again }) => again.kind === 'answered' && again.replayed).length,
      reasons: [...new Set(refusals)]
    }
  }
}
