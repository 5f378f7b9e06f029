/** Tracks the backend servers of this VM: announcements, requests in flight, drains and crashes. */
import * as Net from 'node:net'
import * as Decisions from '@jasminedale/decisions'
import * as zod from 'zod'
import * as Endpoints from './endpoint.js'
import type * as EngineLoops from './engine-loop.js'
import type * as Loggers from './observation/logger.js'
import type * as Attempts from './requests/attempt.js'

/** Retention of a backend server that no longer announces itself. The engine detects missed announcements independently. */
const RETENTION_MS = 60_000
const CONNECT_CHECK_TIMEOUT_MS = 500

export const announcementSchema = zod.object({
  target: zod.string().min(1).max(128).transform(Decisions.Ids.targetId),
  service: zod.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/).transform(Decisions.Ids.service),
  address: zod.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/).transform(Decisions.Ids.endpoint),
  slots: zod.int().min(1).max(10_000),
  incarnation: zod.number().nonnegative().transform(Decisions.Ids.incarnation),
  load: zod.number().nonnegative().optional()
})

export type Announcement = zod.infer<typeof announcementSchema>

interface KnownTarget {
  announcement: Announcement
  lastAnnouncedAt: number
  isLeaving: boolean
  inFlight: number
}

interface LocalTargetsParts {
  readonly loop: EngineLoops.EngineLoop
  readonly logger: Loggers.Logger
}

export class LocalTargets {
  private readonly parts: LocalTargetsParts
  private readonly known = new Map<Decisions.Ids.TargetId, KnownTarget>()
  private readonly runningChecks = new Map<Decisions.Ids.TargetId, Promise<void>>()

  constructor (parts: LocalTargetsParts) {
    this.parts = parts
  }

  announce (announcement: Announcement): void {
    const known = this.known.get(announcement.target)
    const hasRestarted = known?.announcement.incarnation !== announcement.incarnation
    if (known === undefined || hasRestarted) {
      this.known.set(announcement.target, { announcement, lastAnnouncedAt: performance.now(), isLeaving: false, inFlight: known?.inFlight ?? 0 })
    } else {
      known.announcement = announcement
      known.lastAnnouncedAt = performance.now()
    }
    const { load, ...rest } = announcement
    this.parts.loop.submit({ kind: 'target-announced', ...rest, ...(load === undefined ? {} : { load }) })
  }

  /** Reports a backend server as leaving; its refused connections then do not count as a crash. Returns false when it is unknown. */
  leave (target: Decisions.Ids.TargetId): boolean {
    const known = this.known.get(target)
    if (known === undefined) return false
    known.isLeaving = true
    this.parts.loop.submit({ kind: 'target-leaving', target })
    return true
  }

  inFlight (target: Decisions.Ids.TargetId): number {
    return this.known.get(target)?.inFlight ?? 0
  }

  startAttempt (target: Decisions.Ids.TargetId): void {
    const known = this.known.get(target)
    if (known !== undefined) known.inFlight += 1
  }

  /**
   * Calls `report` immediately, or, when the connection failed, after checking whether the process still listens.
   * The engine must learn of a crash before it learns how each request in flight ended.
   */
  finishAttempt (plan: Attempts.AttemptPlan, end: Decisions.Events.AttemptEnd, report: () => void): void {
    const known = plan.target === undefined ? undefined : this.known.get(plan.target)
    if (known === undefined) {
      report()
      return
    }
    known.inFlight -= 1
    if (end.kind === 'unreachable' || end.kind === 'disconnected') void this.checkListening(known.announcement).then(report)
    else report()
  }

  /** Removes idle backend servers that have not announced themselves within the retention period. Called on every tick. */
  sweep (): void {
    const now = performance.now()
    for (const [target, known] of this.known) {
      if (now - known.lastAnnouncedAt > RETENTION_MS && known.inFlight === 0) this.known.delete(target)
    }
  }

  private checkListening (announcement: Announcement): Promise<void> {
    const { target, address, incarnation } = announcement
    const runningCheck = this.runningChecks.get(target)
    if (runningCheck !== undefined) return runningCheck
    const check = isConnectionRefused(address).then(isRefused => {
      this.runningChecks.delete(target)
      if (isRefused && this.known.get(target)?.announcement.incarnation === incarnation) this.remove(target)
    })
    this.runningChecks.set(target, check)
    return check
  }

  private remove (target: Decisions.Ids.TargetId): void {
    const hasCrashed = this.known.get(target)?.isLeaving === false
    this.known.delete(target)
    this.parts.logger.warn({ target, crashed: hasCrashed }, 'backend server refuses connections')
    this.parts.loop.submit({ kind: 'target-gone', target, crashed: hasCrashed })
  }
}

function isConnectionRefused (address: Decisions.Ids.Endpoint): Promise<boolean> {
  return new Promise(resolve => {
    const socket = Net.connect({ ...Endpoints.parse(address), timeout: CONNECT_CHECK_TIMEOUT_MS })
    const settle = (isRefused: boolean): void => {
      socket.destroy()
      resolve(isRefused)
    }
    socket.on('connect', () => { settle(false) })
    socket.on('timeout', () => { settle(false) })
    socket.on('error', error => { settle('code' in error && error.code === 'ECONNREFUSED') })
  })
}
