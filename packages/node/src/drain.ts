/** Drains one backend server or the whole node before a planned stop. */
import type * as Decisions from '@jasminedale/decisions'
import type * as EngineLoops from './engine-loop.js'
import type * as Loggers from './observation/logger.js'
import type * as LocalTargets from './local-targets.js'
import type * as Gateways from './requests/gateway.js'

/** Time after the configured limit at which a drain ends without a report from the engine, in case the engine failed. */
const ENGINE_REPORT_MARGIN_MS = 2_000

export interface DrainReport {
  /** Number of requests that were still in flight at the drain limit. */
  readonly abandoned: number
}

interface DrainParts {
  readonly engine: Decisions.Engines.Engine
  readonly clock: Decisions.Clock.Clock
  readonly loop: EngineLoops.EngineLoop
  readonly targets: LocalTargets.LocalTargets
  readonly gateway: Gateways.Gateway
  readonly logger: Loggers.Logger
}

interface DrainWait {
  readonly target: Decisions.Ids.TargetId | undefined
  readonly expiresAt: number
  readonly finish: (report: DrainReport) => void
}

export class Drain {
  private readonly parts: DrainParts
  private waits: DrainWait[] = []

  constructor (parts: DrainParts) {
    this.parts = parts
  }

  /** Resolves when no request for the target is in flight, or at the drain limit; undefined when the target is unknown. */
  async drainTarget (target: Decisions.Ids.TargetId): Promise<DrainReport | undefined> {
    const report = this.wait(target)
    if (!this.parts.targets.leave(target)) {
      this.waits = this.waits.filter(entry => entry.target !== target)
      return undefined
    }
    this.parts.loop.submit({ kind: 'drain-requested', target })
    return report
  }

  /** Resolves when no request is in flight on the node, or at the drain limit. */
  async drainNode (): Promise<DrainReport> {
    const report = this.wait(undefined)
    this.parts.loop.submit({ kind: 'drain-requested' })
    return report
  }

  handleDrained ({ target, abandoned }: Decisions.Commands.Drained): void {
    this.settle(entry => entry.target === target, () => abandoned)
  }

  /** Ends the drains that have passed their limit. Called on every tick. */
  sweep (): void {
    const now = performance.now()
    const { targets, gateway } = this.parts
    this.settle(entry => entry.expiresAt <= now, entry => entry.target === undefined ? gateway.openRequestCount : targets.inFlight(entry.target))
  }

  private wait (target: Decisions.Ids.TargetId | undefined): Promise<DrainReport> {
    const limit = this.parts.engine.board.configuration.current.defaults.drainLimit
    return new Promise(finish => {
      this.waits.push({ target, expiresAt: performance.now() + limit + ENGINE_REPORT_MARGIN_MS, finish })
    })
  }

  private settle (matches: (entry: DrainWait) => boolean, abandoned: (entry: DrainWait) => number): void {
    const settled = this.waits.filter(matches)
    if (settled.length === 0) return
    this.waits = this.waits.filter(entry => !matches(entry))
    for (const entry of settled) {
      const report = { abandoned: abandoned(entry) }
      this.parts.logger.info({ target: entry.target, ...report }, 'drain ended')
      entry.finish(report)
    }
  }
}
