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

export type Verdict = 'unchanged' | 'changed' | 'outdated'

export class LocalTarget {
  private current: Announcement | undefined

  get announced (): Announcement | undefined {
    return this.current
  }

  get isReady (): boolean {
    return this.current?.state === 'ready'
  }

  /** Takes an announcement over unless a later one is known. A target that is leaving stays so. */
  hear (announcement: Announcement): Verdict {
    const known = this.current
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

  /** Goodbye of the process `target`; false when it is not the current one. */
  leave (target: Decisions.Ids.TargetId): boolean {
    if (this.current?.target !== target) return false
    this.current = { ...this.current, state: 'gone' }
    return true
  }

  /** Another process answers at the target's address: nothing is known until the next announcement. */
  replaced (target: Decisions.Ids.TargetId): void {
    if (this.current?.target === target) this.current = undefined
  }

  private accept (announcement: Announcement): Verdict {
    this.current = announcement
    return 'changed'
  }
}
