/** State of the backend server on this VM, from its own announcements. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../directory/registration.js'

/** Announcement in which a backend server gives its state and its number of slots. */
export interface Announcement {
  readonly target: Decisions.Ids.TargetId
  readonly service: Decisions.Ids.Service
  readonly slots: number
  readonly state: Registrations.TargetState
  /** Start of the server process; a later process has a higher one. */
  readonly incarnation: Decisions.Ids.Incarnation
  /** Rises with each announcement of one incarnation. */
  readonly sequence: number
}

/** What an announcement did to the known state. Logged. */
export type AnnouncementResult = 'unchanged' | 'changed' | 'outdated'

export class LocalTarget {
  private current: Announcement | undefined
  /** Targets that have deregistered, with their incarnation if it is known. */
  private readonly departed = new Map<Decisions.Ids.TargetId, Decisions.Ids.Incarnation | undefined>()

  /** The newest announcement; undefined before the first one. */
  get announcement (): Announcement | undefined {
    return this.current
  }

  get isReady (): boolean {
    return this.current?.state === 'ready'
  }

  /**
   * Applies an announcement unless a later one is known. Announcements may arrive late and out of order, so a target
   * that is leaving does not become ready again within the same incarnation.
   */
  applyAnnouncement (announcement: Announcement): AnnouncementResult {
    const known = this.current
    if (this.hasDeparted(announcement.target, announcement.incarnation)) return 'outdated'
    if (known === undefined) return this.accept(announcement)
    if (announcement.incarnation < known.incarnation) return 'outdated'
    if (announcement.incarnation > known.incarnation) return this.accept(announcement)
    if (announcement.target !== known.target) return 'outdated'
    if (announcement.state === 'gone' && known.state !== 'gone') return this.accept(announcement)
    if (announcement.sequence <= known.sequence) return 'outdated'
    if (known.state !== 'ready' && announcement.state === 'ready') return 'outdated'
    const isUnchanged = known.state === announcement.state && known.slots === announcement.slots && known.service === announcement.service
    this.current = announcement
    return isUnchanged ? 'unchanged' : 'changed'
  }

  /** Records that the current target has stated in a response that it is leaving. Returns whether that is new. */
  recordLeaving (target: Decisions.Ids.TargetId): boolean {
    if (this.current?.target !== target || this.current.state !== 'ready') return false
    this.current = { ...this.current, state: 'leaving' }
    return true
  }

  /**
   * Records that a target has deregistered; later announcements of the same process are outdated. Returns whether it
   * was the current target.
   */
  recordDeparture (target: Decisions.Ids.TargetId, incarnation?: Decisions.Ids.Incarnation): boolean {
    const isCurrent = this.current?.target === target && (incarnation === undefined || this.current.incarnation === incarnation)
    const departed = incarnation ?? (isCurrent ? this.current?.incarnation : undefined)
    if (departed === undefined || !this.hasDeparted(target, departed)) this.departed.set(target, departed)
    if (isCurrent && this.current !== undefined) this.current = { ...this.current, state: 'gone' }
    return isCurrent
  }

  /** Whether the process has deregistered. If it did so without its incarnation, any process with that id counts as departed. */
  hasDeparted (target: Decisions.Ids.TargetId, incarnation: Decisions.Ids.Incarnation): boolean {
    if (!this.departed.has(target)) return false
    const departed = this.departed.get(target)
    return departed === undefined || incarnation <= departed
  }

  /** Discards the state, because another process has responded at the target's address. Unknown until the next announcement. */
  clear (target: Decisions.Ids.TargetId): void {
    if (this.current?.target === target) this.current = undefined
  }

  private accept (announcement: Announcement): AnnouncementResult {
    this.current = announcement
    return 'changed'
  }
}
