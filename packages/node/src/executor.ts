/** Executes the commands of the engine. */
import type * as Decisions from '@jasminedale/decisions'
import type * as ControlChannels from './control/control-channel.js'
import type * as Drains from './drain.js'
import type * as EngineLoops from './engine-loop.js'
import type * as LogClients from './log/log-client.js'
import type * as ConnectionPools from './connection-pools.js'
import type * as Probers from './prober.js'
import type * as Gateways from './requests/gateway.js'

interface ExecutorParts {
  readonly gateway: Gateways.Gateway
  readonly control: ControlChannels.ControlChannel
  readonly prober: Probers.Prober
  readonly logClient: LogClients.LogClient
  readonly pools: ConnectionPools.ConnectionPools
  readonly drain: Drains.Drain
}

export class Executor implements EngineLoops.CommandExecutor {
  private readonly parts: ExecutorParts

  constructor (parts: ExecutorParts) {
    this.parts = parts
  }

  execute (command: Decisions.Commands.Command): void {
    const { gateway, control, prober, logClient, pools, drain } = this.parts
    switch (command.kind) {
      case 'dispatch': gateway.dispatch(command); break
      case 'forward': gateway.forward(command); break
      case 'relay': gateway.relay(command); break
      case 'refuse': gateway.refuseRequest(command); break
      case 'replay': gateway.replay(command); break
      case 'cancel': gateway.cancel(command); break
      case 'send': control.send(command); break
      case 'probe': void prober.probe(command); break
      case 'read-log': void logClient.read(command); break
      case 'append-log': void logClient.append(command); break
      case 'retire-connections': pools.retire(command.address); break
      case 'drained': drain.handleDrained(command); break
    }
  }
}
