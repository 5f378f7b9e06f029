/** Takes announcements of the backend server on this VM and registers it. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Directories from './directory/directory.js'
import type * as Registrations from './directory/registration.js'
import type * as HostViews from './entry/host-views.js'
import type * as Hosts from './host/host.js'
import type * as LocalTargets from './host/local-target.js'
import type * as Logs from './observation/log.js'
import type * as Settings from './settings.js'
import type * as Registrars from './state/registrar.js'

export interface MembershipParts {
  readonly settings: Settings.ProxySettings
  readonly log: Logs.Log
  readonly directory: Directories.Directory
  readonly localTarget: LocalTargets.LocalTarget
  readonly host: Pick<Hosts.Host, 'resetTarget'>
  readonly registrar: Pick<Registrars.Registrar, 'publish'>
  readonly views: HostViews.HostViews
}

export class Membership {
  private readonly parts: MembershipParts

  constructor (parts: MembershipParts) {
    this.parts = parts
  }

  /** Takes an announcement over. The promise ends when the change, if any, is in the shared log. */
  async applyAnnouncement (announcement: LocalTargets.Announcement): Promise<void> {
    const { localTarget, log, host, directory, views } = this.parts
    const before = localTarget.announcement
    const known = directory.get(announcement.target)
    const outdated = known !== undefined && known.state !== 'ready' && known.sequence >= announcement.sequence && known.incarnation >= announcement.incarnation
    const verdict = outdated ? 'outdated' : localTarget.applyAnnouncement(announcement)
    if (verdict === 'unchanged') return
    const { target, state, sequence, incarnation } = announcement
    log.info(`announcement of the local target: ${verdict}`, { target, state, sequence, incarnation, before: before?.target, stateBefore: before?.state })
    if (verdict === 'outdated') return
    if (before?.incarnation !== incarnation || before.target !== target) {
      host.resetTarget(announcement.slots)
      views.remove(target)
    }
    await this.register(announcement)
  }

  /**
   * Takes over the newest registration of this host after a restart, so that the target gets work before its next
   * announcement. A target that has left is registered as such before its goodbye is acknowledged.
   */
  adoptRegistration (): void {
    const { localTarget, log, host, directory, settings } = this.parts
    if (localTarget.announcement !== undefined) return
    const newest = directory.newestAtHost(settings.place.host)
    if (newest?.state !== 'ready' || newest.service !== settings.service) return
    const { target, service, slots, state, incarnation, sequence } = newest
    if (localTarget.hasDeparted(target, incarnation)) {
      log.info('registration of this host is outdated: its target has said goodbye', { target, incarnation })
      void this.register({ ...newest, state: 'gone' })
      return
    }
    localTarget.applyAnnouncement({ target, service, slots, state, incarnation, sequence })
    host.resetTarget(slots)
    log.info('local target adopted from its registration', { target, incarnation, sequence })
  }

  /**
   * Goodbye of a backend server. Nothing is sent to it from now on. Returns whether the shared log holds this: a node
   * that has just started and has not read the directory yet cannot say so.
   */
  async deregister (target: Decisions.Ids.TargetId, incarnation?: Decisions.Ids.Incarnation): Promise<boolean> {
    const { localTarget, log, directory } = this.parts
    if (localTarget.recordDeparture(target, incarnation)) {
      log.info('local target said goodbye', { target })
      if (localTarget.announcement !== undefined) await this.register(localTarget.announcement)
      return true
    }
    const known = directory.get(target)
    log.info('goodbye of a target that is not the current one', { target, current: localTarget.announcement?.target, registered: known?.state })
    if (known === undefined) return false
    if (known.state !== 'gone') await this.register({ ...known, state: 'gone' })
    return true
  }

  private async register (announcement: LocalTargets.Announcement): Promise<void> {
    const { settings, directory, registrar } = this.parts
    const { target, service, slots, state, incarnation, sequence } = announcement
    const { host, dataCenter, region } = settings.place
    const registration: Registrations.Registration = { target, service, host, dataCenter, region, slots, state, incarnation, sequence }
    directory.merge(registration)
    await registrar.publish(registration)
  }
}
