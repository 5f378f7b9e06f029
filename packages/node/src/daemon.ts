/** Creates, starts and stops one node. */
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
import * as LocalTargets from './local-targets.js'
import * as LogClients from './log/log-client.js'
import * as Loggers from './observation/logger.js'
import * as Metrics from './observation/metrics.js'
import * as StatusReporters from './observation/status-reporter.js'
import * as ConnectionPools from './connection-pools.js'
import * as Probers from './prober.js'
import * as Gateways from './requests/gateway.js'
import * as Servers from './server.js'

/** At a planned stop, connections whose responses are still unread after this time are closed. */
const RESPONSE_FLUSH_TIMEOUT_MS = 10_000

/** The components of a node. Awilix injects them into constructors by these names. */
interface Cradle {
  readonly settings: Configuration.ProcessSettings.ProcessSettings
  readonly identity: Decisions.Identities.Identity
  readonly clock: Decisions.Clock.Clock
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
  readonly engine: Decisions.Engines.Engine
  readonly loop: EngineLoops.EngineLoop
  readonly pools: ConnectionPools.ConnectionPools
  readonly targets: LocalTargets.LocalTargets
  readonly gateway: Gateways.Gateway
  readonly control: ControlChannels.ControlChannel
  readonly prober: Probers.Prober
  readonly logClient: LogClients.LogClient
  readonly drain: Drains.Drain
  readonly status: StatusReporters.StatusReporter
  readonly executor: Executors.Executor
  readonly server: Servers.Server
}

/** Why a node could not start. */
export type StartFailure =
  | { readonly kind: 'address-in-use', readonly address: Decisions.Ids.Endpoint }
  | { readonly kind: 'address-unavailable', readonly address: Decisions.Ids.Endpoint, readonly code: string }

function createIdentity (settings: Configuration.ProcessSettings.ProcessSettings, clock: Decisions.Clock.Clock): Decisions.Identities.Identity {
  const { node, address, dataCenter, region, seeds } = settings
  return { node, address, dataCenter, region, seeds, incarnation: Decisions.Ids.incarnation(Math.floor(clock.now())) }
}

function createMetrics ({ settings, logger }: Cradle): Metrics.Metrics {
  if (settings.statsd === undefined) return new Metrics.TotalsOnlyMetrics()
  return new Metrics.StatsdMetrics(settings.statsd, settings.node, error => { logger.debug({ error: error.message }, 'metrics could not be sent') })
}

/** Seeds the engine by node and incarnation, so that their random choices differ. */
function createEngine ({ identity }: Cradle): Decisions.Engines.Engine {
  const seed = Decisions.Rendezvous.hash(`${identity.node}.${identity.incarnation}`)
  return new Decisions.Engines.Engine({ identity, seed, parseConfiguration: Configuration.FleetConfigurations.parseConfiguration })
}

function createCradle (settings: Configuration.ProcessSettings.ProcessSettings): Cradle {
  const container = Awilix.createContainer<Cradle>({ strict: true })
  container.register({
    settings: Awilix.asValue(settings),
    clock: Awilix.asClass(SystemClocks.SystemClock).singleton(),
    identity: Awilix.asFunction((cradle: Cradle) => createIdentity(cradle.settings, cradle.clock)).singleton(),
    logger: Awilix.asFunction((cradle: Cradle) => Loggers.createLogger(cradle.settings.node)).singleton(),
    metrics: Awilix.asFunction(createMetrics).singleton(),
    engine: Awilix.asFunction(createEngine).singleton(),
    loop: Awilix.asClass(EngineLoops.EngineLoop).singleton(),
    pools: Awilix.asClass(ConnectionPools.ConnectionPools).singleton(),
    targets: Awilix.asClass(LocalTargets.LocalTargets).singleton(),
    gateway: Awilix.asClass(Gateways.Gateway).singleton(),
    control: Awilix.asClass(ControlChannels.ControlChannel).singleton(),
    prober: Awilix.asClass(Probers.Prober).singleton(),
    logClient: Awilix.asClass(LogClients.LogClient).singleton(),
    drain: Awilix.asClass(Drains.Drain).singleton(),
    status: Awilix.asClass(StatusReporters.StatusReporter).singleton(),
    executor: Awilix.asClass(Executors.Executor).singleton(),
    server: Awilix.asClass(Servers.Server).singleton()
  })
  return container.cradle
}

export class Daemon {
  private constructor (private readonly parts: Cradle) {}

  /** Binds the port for TCP and UDP. Closes all sockets again when the start fails. */
  static start (settings: Configuration.ProcessSettings.ProcessSettings): neverthrow.ResultAsync<Daemon, StartFailure> {
    const parts = createCradle(settings)
    return neverthrow.ResultAsync.fromPromise(openParts(parts), error => toStartFailure(error, settings.address))
      .map(() => new Daemon(parts))
  }

  get engine (): Decisions.Engines.Engine {
    return this.parts.engine
  }

  /** Drains and stops the node. Reports the number of requests that were abandoned. */
  async stop (): Promise<Drains.DrainReport> {
    const { drain, logger } = this.parts
    logger.info({}, 'planned stop begins')
    const { abandoned } = await drain.drainNode()
    const unfinishedResponses = await Promise.race([this.parts.server.close().then(() => 0), delay(RESPONSE_FLUSH_TIMEOUT_MS).then(() => this.parts.server.countConnections())])
    await closeParts(this.parts)
    const report = { abandoned: Math.max(abandoned, unfinishedResponses) }
    logger.info({ ...report }, 'node stopped')
    return report
  }

  /** Stops the node without a drain. */
  async kill (): Promise<void> {
    await closeParts(this.parts)
    await this.parts.server.close()
  }
}

async function delay (durationMs: number): Promise<void> {
  await Timers.setTimeout(durationMs, undefined, { ref: false })
}

async function openParts (parts: Cradle): Promise<void> {
  const { server, control, loop, executor, targets, gateway, drain, pools, identity, logger } = parts
  try {
    await server.open()
    await control.open()
  } catch (error) {
    await server.close()
    await closeParts(parts)
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

async function closeParts ({ loop, control, logClient, pools, metrics }: Cradle): Promise<void> {
  loop.stop()
  control.close()
  metrics.close()
  await Promise.all([logClient.close(), pools.destroy()])
}

function toStartFailure (error: unknown, address: Decisions.Ids.Endpoint): StartFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown'
  return code === 'EADDRINUSE' ? { kind: 'address-in-use', address } : { kind: 'address-unavailable', address, code }
}
