/** Passes events to the engine in batches and its commands to the executor. */
import * as Decisions from '@jasminedale/decisions'
import type * as Loggers from './observation/logger.js'
import type * as Metrics from './observation/metrics.js'

export const TICK_MS = 100

export interface CommandExecutor {
  execute (command: Decisions.Commands.Command): void
}

interface EngineLoopParts {
  readonly engine: Decisions.Engines.Engine
  readonly clock: Decisions.Clock.Clock
  readonly logger: Loggers.Logger
  readonly metrics: Metrics.Metrics
}

export class EngineLoop {
  private readonly parts: EngineLoopParts
  private readonly pending: Decisions.Events.ExternalEvent[] = []
  private executor: CommandExecutor | undefined
  private isRunning = false
  private timer: NodeJS.Timeout | undefined

  constructor (parts: EngineLoopParts) {
    this.parts = parts
  }

  start (executor: CommandExecutor, onTick: () => void): void {
    this.executor = executor
    this.timer = setInterval(() => {
      this.submit({ kind: 'tick' })
      onTick()
    }, TICK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Submits events to the engine. Events submitted while commands execute are queued for the next step. */
  submit (...events: readonly Decisions.Events.ExternalEvent[]): void {
    this.pending.push(...events)
    if (this.isRunning) return
    this.isRunning = true
    while (this.pending.length > 0) this.step(this.pending.splice(0))
    this.isRunning = false
  }

  /** Runs one engine step and executes its commands. An exception in one controller must not end the process, since other requests can still be served. */
  private step (events: readonly Decisions.Events.ExternalEvent[]): void {
    const { engine, clock, logger, metrics } = this.parts
    let commands: readonly Decisions.Commands.Command[] = []
    try {
      commands = engine.step(clock.now(), events)
    } catch (error) {
      metrics.count('engine.failed')
      logger.error({ events: events.map(event => event.kind), error: String(error), stack: error instanceof Error ? error.stack : undefined }, 'engine step failed; its commands are lost')
    }
    for (const command of commands) this.execute(command)
  }

  private execute (command: Decisions.Commands.Command): void {
    try {
      this.executor?.execute(command)
    } catch (error) {
      this.parts.metrics.count('command.failed')
      this.parts.logger.error({ command: command.kind, error: String(error), stack: error instanceof Error ? error.stack : undefined }, 'command failed')
    }
  }
}
