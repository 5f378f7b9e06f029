/** Registers the backend server on this VM in the shared log, as its announcements and its deregistration ask for. */
import type * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import type * as Directories from './directory/directory.js'
import type * as Registrations from './directory/registration.js'
import type * as HostViews from './entry/host-views.js'
import type * as Hosts from './host/host.js'
import type * as LocalTargets from './host/local-target.js'
import type * as Logs from './observation/log.js'
import type * as Settings from './settings.js'
import type * as Registrars from './state/registrar.js'

export interface MembershipDependencies {
  readonly settings: Settings.ProxySettings
  readonly log: Logs.Log
  readonly directory: Directories.Directory
  readonly localTarget: LocalTargets.LocalTarget
  readonly host: Pick<Hosts.Host, 'resetTarget'>
  readonly registrar: Pick<Registrars.Registrar, 'publish'>
  readonly views: HostViews.HostViews
}

/** The announcement does not come from the backend server of this VM. */
export interface AnnouncementRejection { readonly kind: 'service-mismatch', readonly detail: string }

export class Membership {
  private readonly dependencies: MembershipDependencies
  /** Resolves when the shared log shows the target as leaving that stated so in a response; its announcement of that changes nothing more. */
  private leavingRegistration: Promise<void> | undefined

  constructor (dependencies: MembershipDependencies) {
    this.dependencies = dependencies
  }

  /**
   * Applies an announcement of the backend server. Resolves when the resulting change, if any, is in the shared log.
   * An announcement for another service than that of this VM comes from another writer and changes nothing.
   */
  async applyAnnouncement (announcement: LocalTargets.Announcement): Promise<neverthrow.Result<void, AnnouncementRejection>> {
    const { service } = this.dependencies.settings
    if (announcement.service !== service) {
      return neverthrow.err({ kind: 'service-mismatch', detail: `service ${announcement.service} instead of ${service}` })
    }
    await this.applyOwnAnnouncement(announcement)
    return neverthrow.ok()
  }

  private async applyOwnAnnouncement (announcement: LocalTargets.Announcement): Promise<void> {
    const { localTarget, log, host, directory, views } = this.dependencies
    const previous = localTarget.announcement
    const known = directory.get(announcement.target)
    const hasLeft = known !== undefined && known.state !== 'ready' && known.incarnation >= announcement.incarnation
    const isOutdated = hasLeft && (announcement.state === 'ready' || known.sequence >= announcement.sequence)
    const result = isOutdated ? 'outdated' : localTarget.applyAnnouncement(announcement)
    if (result === 'unchanged') {
      await this.leavingRegistration
      return
    }
    const { target, state, sequence, incarnation } = announcement
    log.info(`announcement of the local target: ${result}`, { target, state, sequence, incarnation, before: previous?.target, stateBefore: previous?.state })
    if (result === 'outdated') return
    if (previous?.incarnation !== incarnation || previous.target !== target) {
      host.resetTarget(announcement.slots)
      views.remove(target)
    }
    await this.register(announcement)
  }

  /**
   * Restores the local target from the newest registration of this host after a restart of the node, so that the target
   * gets requests before its next announcement. If that target has already deregistered, its registration is set to gone
   * instead, before the deregistration is acknowledged.
   */
  adoptRegistration (): void {
    const { localTarget, log, host, directory, settings } = this.dependencies
    if (localTarget.announcement !== undefined) return
    const newest = directory.newestAtHost(settings.location.host)
    if (newest?.state !== 'ready' || newest.service !== settings.service) return
    const { target, service, slots, state, incarnation, sequence } = newest
    if (localTarget.hasDeparted(target, incarnation)) {
      log.info('registration of this host is outdated: its target has deregistered', { target, incarnation })
      void this.register({ ...newest, state: 'gone' })
      return
    }
    localTarget.applyAnnouncement({ target, service, slots, state, incarnation, sequence })
    host.resetTarget(slots)
    log.info('local target adopted from its registration', { target, incarnation, sequence })
  }

  /** Handles a response in which the local target states that it is leaving. No request is sent to it from now on. */
  async recordLeaving (target: Decisions.Ids.TargetId): Promise<void> {
    const { localTarget, log } = this.dependencies
    if (!localTarget.recordLeaving(target) || localTarget.announcement === undefined) return
    log.info('local target states in its responses that it is leaving', { target, sequence: localTarget.announcement.sequence })
    this.leavingRegistration = this.register(localTarget.announcement)
    await this.leavingRegistration
  }

  /**
   * Handles the deregistration of a backend server. No request is sent to it from now on. Resolves to true when the
   * shared log shows the target as gone. Resolves to false when the target is unknown, as on a node that has not read
   * the directory since its start.
   */
  async deregister (target: Decisions.Ids.TargetId, incarnation?: Decisions.Ids.Incarnation): Promise<boolean> {
    const { localTarget, log, directory } = this.dependencies
    if (localTarget.recordDeparture(target, incarnation)) {
      log.info('local target deregistered', { target })
      if (localTarget.announcement !== undefined) await this.register(localTarget.announcement)
      return true
    }
    const known = directory.get(target)
    log.info('deregistration of a target that is not the current one', {
      target, incarnation, current: localTarget.announcement?.target, registered: known?.state, registeredIncarnation: known?.incarnation
    })
    if (known === undefined) return false
    // A call that arrives late may come from the former process of a target that was restarted under its id.
    if (incarnation !== undefined && incarnation < known.incarnation) return true
    if (known.state !== 'gone') await this.register({ ...known, state: 'gone' })
    return true
  }

  private async register (announcement: LocalTargets.Announcement): Promise<void> {
    const { settings, directory, registrar } = this.dependencies
    const { target, service, slots, state, incarnation, sequence } = announcement
    const { host, dataCenter, region } = settings.location
    const registration: Registrations.Registration = { target, service, host, dataCenter, region, slots, state, incarnation, sequence }
    directory.merge(registration)
    await registrar.publish(registration)
  }
}
