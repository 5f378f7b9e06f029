/** The backend servers of this VM: announcements, their absence, and crashes. */
import * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'
import * as Endpoints from './endpoint.js'
import type * as EngineLoops from './engine-loop.js'
import type * as Loggers from './observation/logger.js'
import type * as Attempts from './requests/attempt.js'

/** Silent backend servers are forgotten here; the engine counts missed announcements itself. */
const FORGET_MS = 60_000
const CHECK_TIMEOUT_MS = 500

export const announcementSchema = zod.object({
  target: zod.string().min(1).max(128).transform(Decisions.Ids.targetId),
  service: zod.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/).transform(Decisions.Ids.service),
  address: zod.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/).transform(Decisions.Ids.endpoint),
  slots: zod.int().min(1).max(10_000),
  incarnation: zod.number().nonnegative().transform(Decisions.Ids.incarnation),
  load: zod.number().nonnegative().optional()
})

export type Announcement = zod.infer<typeof announcementSchema>

interface Known {
  announcement: Announcement
  heardAt: number
  leaving: boolean
  inFlight: number
}

interface Parts {
  readonly loop: EngineLoops.EngineLoop
  readonly logger: Loggers.Logger
}

export class LocalTargets {
  private readonly parts: Parts
  private readonly known = new Map<Decisions.Ids.TargetId, Known>()
  private readonly checks = new Map<Decisions.Ids.TargetId, Promise<void>>()

  constructor (parts: Parts) {
    this.parts = parts
  }

  announce (announcement: Announcement): void {
    const known = this.known.get(announcement.target)
    const restarted = known?.announcement.incarnation !== announcement.incarnation
    if (known === undefined || restarted) {
      this.known.set(announcement.target, { announcement, heardAt: performance.now(), leaving: false, inFlight: known?.inFlight ?? 0 })
    } else {
      known.announcement = announcement
      known.heardAt = performance.now()
    }
    const { load, ...rest } = announcement
    this.parts.loop.submit({ kind: 'target-announced', ...rest, ...(load === undefined ? {} : { load }) })
  }

  /** Starts the drain of one backend server; false when it is not known. */
  leave (target: Decisions.Ids.TargetId): boolean {
    const known = this.known.get(target)
    if (known === undefined) return false
    known.leaving = true
    this.parts.loop.submit({ kind: 'target-leaving', target })
    return true
  }

  inFlight (target: Decisions.Ids.TargetId): number {
    return this.known.get(target)?.inFlight ?? 0
  }

  started (target: Decisions.Ids.TargetId): void {
    const known = this.known.get(target)
    if (known !== undefined) known.inFlight += 1
  }

  /**
   * Runs `report` at once, or after a lost connection as soon as it is known whether the process still listens:
   * the engine then learns of a crash before it learns how each request in flight ended.
   */
  afterAttempt (plan: Attempts.Plan, end: Decisions.Events.AttemptEnd, report: () => void): void {
    const known = plan.target === undefined ? undefined : this.known.get(plan.target)
    if (known === undefined) {
      report()
      return
    }
    known.inFlight -= 1
    if (end.kind === 'unreachable' || end.kind === 'disconnected') void this.check(known.announcement).then(report)
    else report()
  }

  /** Called at every tick. */
  sweep (): void {
    const now = performance.now()
    for (const [target, known] of this.known) {
      if (now - known.heardAt > FORGET_MS && known.inFlight === 0) this.known.delete(target)
    }
  }

  private check (announcement: Announcement): Promise<void> {
    const { target, address, incarnation } = announcement
    const running = this.checks.get(target)
    if (running !== undefined) return running
    const check = refusesConnections(address).then(refuses => {
      this.checks.delete(target)
      if (refuses && this.known.get(target)?.announcement.incarnation === incarnation) this.remove(target)
    })
    this.checks.set(target, check)
    return check
  }

  private remove (target: Decisions.Ids.TargetId): void {
    const crashed = this.known.get(target)?.leaving === false
    this.known.delete(target)
    this.parts.logger.warn({ target, crashed }, 'backend server refuses connections')
    this.parts.loop.submit({ kind: 'target-gone', target, crashed })
  }
}

function refusesConnections (address: Decisions.Ids.Endpoint): Promise<boolean> {
  return new Promise(resolve => {
    const socket = Net.connect({ ...Endpoints.split(address), timeout: CHECK_TIMEOUT_MS })
    const settle = (refuses: boolean): void => {
      socket.destroy()
      resolve(refuses)
    }
    socket.on('connect', () => { settle(false) })
    socket.on('timeout', () => { settle(false) })
    socket.on('error', error => { settle('code' in error && error.code === 'ECONNREFUSED') })
  })
}
