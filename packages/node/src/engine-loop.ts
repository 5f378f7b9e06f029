/** Feeds the engine one batch of events at a time and hands its commands to the executor. */
import * as Decisions from '@jasminedale/decisions'
import type * as Loggers from './observation/logger.js'
import type * as Metrics from './observation/metrics.js'

export const TICK_MS = 100

export interface CommandExecutor {
  execute (command: Decisions.Commands.Command): void
}

interface Parts {
  readonly engine: Decisions.Engines.Engine
  readonly clock: Decisions.Clock.Clock
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class EngineLoop {
  private readonly parts: Parts
  private readonly pending: Decisions.Events.ExternalEvent[] = []
  private executor: CommandExecutor | undefined
  private running = false
  private timer: NodeJS.Timeout | undefined

  constructor (parts: Parts) {
    this.parts = parts
  }

  start (executor: CommandExecutor, everyTick: () => void): void {
    this.executor = executor
    this.timer = setInterval(() => {
      this.submit({ kind: 'tick' })
      everyTick()
    }, TICK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Events raised while commands are carried out wait for the next step. */
  submit (...events: readonly Decisions.Events.ExternalEvent[]): void {
    this.pending.push(...events)
    if (this.running) return
    this.running = true
    while (this.pending.length > 0) this.step(this.pending.splice(0))
    this.running = false
  }

  /** A fault in one controller must not end the process: other requests are still served. */
  private step (events: readonly Decisions.Events.ExternalEvent[]): void {
    const { engine, clock, logger, metrics } = this.parts
    let commands: readonly Decisions.Commands.Command[] = []
    try {
      commands = engine.step(clock.now(), events)
    } catch (error) {
      metrics.count('engine.failed')
      logger.error({ events: events.map(event => event.kind), error: String(error), stack: error instanceof Error ? error.stack : undefined }, 'engine step failed; its commands are lost')
    }
    for (const command of commands) this.carryOut(command)
  }

  private carryOut (command: Decisions.Commands.Command): void {
    try {
      this.executor?.execute(command)
    } catch (error) {
      this.parts.metrics.count('command.failed')
      this.parts.logger.error({ command: command.kind, error: String(error), stack: error instanceof Error ? error.stack : undefined }, 'command failed')
    }
  }
}
