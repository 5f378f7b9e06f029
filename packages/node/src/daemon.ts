/** Wires one node together and starts and stops it. */
import * as Timers from 'node:timers/promises'
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import * as Awilix from 'awilix'
import * as neverthrow from 'neverthrow'
import * as SystemClocks from './clock/system-clock.js'
import * as ControlChannels from './control/control-channel.js'
import * as Drains from './drain.js'
import * as EngineLoops from './engine-loop.js'
import * as Executors from './executor.js'
import * as Targets from './local-targets.js'
import * as LogClients from './log/log-client.js'
import * as Loggers from './observation/logger.js'
import * as Metrics from './observation/metrics.js'
import * as Status from './observation/status.js'
import * as Pools from './pools.js'
import * as Probers from './prober.js'
import * as Gateways from './requests/gateway.js'
import * as Servers from './server.js'

/** Requesters that read the end of their response more slowly than this are cut off at a planned stop. */
const FLUSH_MS = 10_000

/** Everything that is wired, by the name under which classes ask for it. */
interface Cradle {
  readonly settings: Configuration.ProcessSettings.ProcessSettings
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
  readonly engine: Decisions.Engines.Engine
  readonly loop: EngineLoops.EngineLoop
  readonly pools: Pools.Pools
  readonly targets: Targets.LocalTargets
  readonly gateway: Gateways.Gateway
  readonly control: ControlChannels.ControlChannel
  readonly prober: Probers.Prober
  readonly logClient: LogClients.LogClient
  readonly drain: Drains.Drain
  readonly status: Status.Status
  readonly executor: Executors.Executor
  readonly server: Servers.Server
}

/** Why a node could not start. */
export type StartFailure =
  | { readonly kind: 'address-in-use', readonly address: Decisions.Ids.Endpoint }
  | { readonly kind: 'address-unavailable', readonly address: Decisions.Ids.Endpoint, readonly code: string }

function identityOf (settings: Configuration.ProcessSettings.ProcessSettings, clock: Decisions.Clock.Clock): Decisions.Identities.Identity {
  const { node, address, dataCenter, region, seeds } = settings
  return { node, address, dataCenter, region, seeds, incarnation: Decisions.Ids.incarnation(Math.floor(clock.now())) }
}

function metricsOf ({ settings, logger }: Cradle): Metrics.Metrics {
  if (settings.statsd === undefined) return new Metrics.NoMetrics()
  return new Metrics.StatsdMetrics(settings.statsd, settings.node, error => { logger.debug({ error: error.message }, 'metrics could not be sent') })
}

/** Different nodes and incarnations make different random choices. */
function engineOf ({ identity }: Cradle): Decisions.Engines.Engine {
  const seed = Decisions.Rendezvous.hash(`${identity.node}.${identity.incarnation}`)
  return new Decisions.Engines.Engine({ identity, seed, parseConfiguration: Configuration.FleetConfigurations.parseConfiguration })
}

function wire (settings: Configuration.ProcessSettings.ProcessSettings): Cradle {
  const container = Awilix.createContainer<Cradle>({ strict: true })
  container.register({
    settings: Awilix.asValue(settings),
    clock: Awilix.asClass(SystemClocks.SystemClock).singleton(),
    identity: Awilix.asFunction((cradle: Cradle) => identityOf(cradle.settings, cradle.clock)).singleton(),
    logger: Awilix.asFunction((cradle: Cradle) => Loggers.createLogger(cradle.settings.node)).singleton(),
    metrics: Awilix.asFunction(metricsOf).singleton(),
    engine: Awilix.asFunction(engineOf).singleton(),
    loop: Awilix.asClass(EngineLoops.EngineLoop).singleton(),
    pools: Awilix.asClass(Pools.Pools).singleton(),
    targets: Awilix.asClass(Targets.LocalTargets).singleton(),
    gateway: Awilix.asClass(Gateways.Gateway).singleton(),
    control: Awilix.asClass(ControlChannels.ControlChannel).singleton(),
    prober: Awilix.asClass(Probers.Prober).singleton(),
    logClient: Awilix.asClass(LogClients.LogClient).singleton(),
    drain: Awilix.asClass(Drains.Drain).singleton(),
    status: Awilix.asClass(Status.Status).singleton(),
    executor: Awilix.asClass(Executors.Executor).singleton(),
    server: Awilix.asClass(Servers.Server).singleton()
  })
  return container.cradle
}

export class Daemon {
  private constructor (private readonly parts: Cradle) {}

  /** Binds the port for TCP and UDP; a failed start leaves nothing open. */
  static start (settings: Configuration.ProcessSettings.ProcessSettings): neverthrow.ResultAsync<Daemon, StartFailure> {
    const parts = wire(settings)
    return neverthrow.ResultAsync.fromPromise(open(parts), error => failureOf(error, settings.address))
      .map(() => new Daemon(parts))
  }

  get engine (): Decisions.Engines.Engine {
    return this.parts.engine
  }

  /** Drains the node and ends it; the report says what was left. */
  async stop (): Promise<Drains.DrainReport> {
    const { drain, logger } = this.parts
    logger.info({}, 'planned stop begins')
    const { abandoned } = await drain.ofNode()
    const unread = await Promise.race([this.parts.server.close().then(() => 0), after(FLUSH_MS).then(() => this.parts.server.connections())])
    await close(this.parts)
    const report = { abandoned: Math.max(abandoned, unread) }
    logger.info({ ...report }, 'node stopped')
    return report
  }

  /** Ends the node at once. */
  async kill (): Promise<void> {
    await close(this.parts)
    await this.parts.server.close()
  }
}

async function after (duration: number): Promise<void> {
  await Timers.setTimeout(duration, undefined, { ref: false })
}

async function open (parts: Cradle): Promise<void> {
  const { server, control, loop, executor, targets, gateway, drain, pools, identity, logger } = parts
  try {
    await server.open()
    await control.open()
  } catch (error) {
    await server.close()
    await close(parts)
    throw error
  }
  loop.start(executor, () => {
    targets.sweep()
    gateway.sweep()
    drain.sweep()
    pools.sweep()
  })
  logger.info({ ...identity }, 'node started')
}

async function close ({ loop, control, logClient, pools, metrics }: Cradle): Promise<void> {
  loop.stop()
  control.close()
  metrics.close()
  await Promise.all([logClient.close(), pools.destroy()])
}

function failureOf (error: unknown, address: Decisions.Ids.Endpoint): StartFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown'
  return code === 'EADDRINUSE' ? { kind: 'address-in-use', address } : { kind: 'address-unavailable', address, code }
}
