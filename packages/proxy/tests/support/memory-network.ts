/** Notifications and calls between nodes of a test, delivered in memory. */
import type * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import type * as NodeChannels from '../../src/transport/node-channel.js'
import type * as NodeRpcs from '../../src/transport/node-rpc.js'

const CALLS_MAXIMUM = 100_000

export class MemoryNetwork {
  /** Nodes that neither send nor answer anything. */
  readonly silent = new Set<Decisions.Ids.Endpoint>()
  /** Calls so far. */
  calls = 0
  private readonly handlers = new Map<string, NodeChannels.NotificationHandler>()
  private readonly methods = new Map<string, (params: unknown) => unknown>()

  channelOf (host: Decisions.Ids.Endpoint): Pick<NodeChannels.NodeChannel, 'handle' | 'notify'> {
    return {
      handle: (method, handler) => { this.handlers.set(`${host} ${method}`, handler) },
      notify: (method, params, hosts) => {
        for (const other of hosts) if (!this.silent.has(host) && !this.silent.has(other)) this.deliver(method, params, other)
      }
    }
  }

  rpcOf (host: Decisions.Ids.Endpoint): Pick<NodeRpcs.NodeRpc, 'addMethod' | 'call'> {
    return {
      addMethod: (method, handler) => { this.methods.set(`${host} ${method}`, handler) },
      call: async (address, method, params): Promise<neverthrow.Result<unknown, NodeRpcs.CallFailure>> => {
        this.calls += 1
        // A caller that repeats a call at once would otherwise never let a timer or an assertion run.
        if (this.calls > CALLS_MAXIMUM) throw new RangeError('calls without end')
        return await Promise.resolve(this.silent.has(address)
          ? neverthrow.err({ kind: 'call-failed', detail: 'silent' })
          : neverthrow.ok(this.methods.get(`${address} ${method}`)?.(params)))
      }
    }
  }

  /** Delivers a notification to one node, whoever sends it. */
  deliver (method: string, params: readonly unknown[], to: Decisions.Ids.Endpoint): void {
    this.handlers.get(`${to} ${method}`)?.(params)
  }
}
