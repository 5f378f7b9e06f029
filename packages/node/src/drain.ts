/** Planned stops of one backend server or of the whole node. */
import type * as Decisions from '@jasminedale/decisions'
import type * as EngineLoops from './engine-loop.js'
import type * as Loggers from './observation/logger.js'
import type * as Targets from './local-targets.js'
import type * as Gateways from './requests/gateway.js'

/** Beyond the configured limit; the engine reports the end itself unless it failed. */
const MARGIN_MS = 2_000

export interface DrainReport {
  /** Requests that were still in flight at the limit. */
  readonly abandoned: number
}

interface Parts {
  readonly engine: Decisions.Engines.Engine
  readonly clock: Decisions.Clock.Clock
  readonly loop: EngineLoops.EngineLoop
  readonly targets: Targets.LocalTargets
  readonly gateway: Gateways.Gateway
  readonly logger: Loggers.Logger
}

interface Waiting {
  readonly target: Decisions.Ids.TargetId | undefined
  readonly until: number
  readonly finish: (report: DrainReport) => void
}

export class Drain {
  private readonly parts: Parts
  private waiting: Waiting[] = []

  constructor (parts: Parts) {
    this.parts = parts
  }

  /** Resolves when no request for the target is in flight, or at the limit. */
  async ofTarget (target: Decisions.Ids.TargetId): Promise<DrainReport | undefined> {
    const report = this.wait(target)
    if (!this.parts.targets.leave(target)) {
      this.waiting = this.waiting.filter(entry => entry.target !== target)
      return undefined
    }
    this.parts.loop.submit({ kind: 'drain-requested', target })
    return report
  }

  /** Resolves when the node has no work left, or at the limit. */
  async ofNode (): Promise<DrainReport> {
    const report = this.wait(undefined)
    this.parts.loop.submit({ kind: 'drain-requested' })
    return report
  }

  drained ({ target, abandoned }: Decisions.Commands.Drained): void {
    this.settle(entry => entry.target === target, () => abandoned)
  }

  /** Ends waits at their limit. Called at every tick. */
  sweep (): void {
    const now = performance.now()
    const { targets, gateway } = this.parts
    this.settle(entry => entry.until <= now, entry => entry.target === undefined ? gateway.open : targets.inFlight(entry.target))
  }

  private wait (target: Decisions.Ids.TargetId | undefined): Promise<DrainReport> {
    const limit = this.parts.engine.board.configuration.current.defaults.drainLimit
    return new Promise(finish => {
      this.waiting.push({ target, until: performance.now() + limit + MARGIN_MS, finish })
    })
  }

  private settle (matches: (entry: Waiting) => boolean, abandoned: (entry: Waiting) => number): void {
    const settled = this.waiting.filter(matches)
    if (settled.length === 0) return
    this.waiting = this.waiting.filter(entry => !matches(entry))
    for (const entry of settled) {
      const report = { abandoned: abandoned(entry) }
      this.parts.logger.info({ target: entry.target, ...report }, 'drain ended')
      entry.finish(report)
    }
  }
}
