/** The backend server on this node's VM, as it announces itself. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../directory/registration.js'

/** One announcement of a backend server. */
export interface Announcement {
  readonly target: Decisions.Ids.TargetId
  readonly service: Decisions.Ids.Service
  readonly slots: number
  readonly state: Registrations.TargetState
  readonly incarnation: Decisions.Ids.Incarnation
  readonly sequence: number
}

export type AnnouncementResult = 'unchanged' | 'changed' | 'outdated'

export class LocalTarget {
  private current: Announcement | undefined
  /** Targets that said goodbye, with their incarnation as far as it is known. */
  private readonly departed = new Map<Decisions.Ids.TargetId, Decisions.Ids.Incarnation | undefined>()

  get announcement (): Announcement | undefined {
    return this.current
  }

  get isReady (): boolean {
    return this.current?.state === 'ready'
  }

  /** Takes an announcement over unless a later one is known. A target that is leaving stays so. */
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
    const same = known.state === announcement.state && known.slots === announcement.slots && known.service === announcement.service
    this.current = announcement
    return same ? 'unchanged' : 'changed'
  }

  /** Goodbye of the process `target`; false when it is not the current one. Later news of the same process is outdated. */
  recordDeparture (target: Decisions.Ids.TargetId, incarnation?: Decisions.Ids.Incarnation): boolean {
    const isCurrent = this.current?.target === target && (incarnation === undefined || this.current.incarnation === incarnation)
    this.departed.set(target, incarnation ?? (isCurrent ? this.current?.incarnation : undefined))
    if (isCurrent && this.current !== undefined) this.current = { ...this.current, state: 'gone' }
    return isCurrent
  }

  /** Whether the process has said goodbye. Without its incarnation, any process of that id counts as the departed one. */
  hasDeparted (target: Decisions.Ids.TargetId, incarnation: Decisions.Ids.Incarnation): boolean {
    if (!this.departed.has(target)) return false
    const departed = this.departed.get(target)
    return departed === undefined || incarnation <= departed
  }

  /** Another process answers at the target's address: nothing is known until the next announcement. */
  replaced (target: Decisions.Ids.TargetId): void {
    if (this.current?.target === target) this.current = undefined
  }

  private accept (announcement: Announcement): AnnouncementResult {
    this.current = announcement
    return 'changed'
  }
}
