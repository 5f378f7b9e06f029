/**
 * Publishes registrations again that the shared log has lost because it was restored from an older copy. Each node
 * publishes those of its own host at once; those of hosts that do not are published by a relay after a delay.
 *
 * Load pattern: all nodes notice the loss within a second, and a deployment may have registered every target just before.
 */
import * as Decisions from '@jasminedale/decisions'
import type * as Directories from '../directory/directory.js'
import * as Registrations from '../directory/registration.js'
import type * as Logs from '../observation/log.js'
import type * as Settings from '../settings.js'
import type * as Registrars from './registrar.js'
import * as RegistrationRecords from './registration-record.js'
import type * as RelayedLogs from './relayed-log.js'

/** Time for which a host may publish its registrations itself. The actual delay is longer by up to the second value, so that the relays of several groups do not write the same. */
const HOST_TIMEOUT_MS = 1_000
const HOST_TIMEOUT_JITTER_MS = 1_500

export interface RegistrationRecoveryDependencies {
  readonly settings: Pick<Settings.ProxySettings, 'location'>
  readonly log: Logs.Log
  readonly random: Decisions.Random.Random
  readonly directory: Directories.Directory
  readonly registrar: Pick<Registrars.Registrar, 'republish'>
  readonly sharedLog: Pick<RelayedLogs.RelayedLog, 'relay'>
}

export class RegistrationRecovery {
  private readonly dependencies: RegistrationRecoveryDependencies
  /** Registrations of other hosts that were not in the log when it was last read anew, and have not been read since. */
  private readonly missing = new Map<Decisions.Ids.TargetId, Registrations.Registration>()
  private timer: NodeJS.Timeout | undefined

  constructor (dependencies: RegistrationRecoveryDependencies) {
    this.dependencies = dependencies
  }

  /** Compares the directory with the newest record of each target in the log. */
  compare (stored: readonly Registrations.Registration[]): void {
    const { directory, settings, random } = this.dependencies
    const storedByTarget = new Map(stored.map(registration => [registration.target, registration]))
    this.missing.clear()
    for (const registration of directory.allTargets()) {
      if (!isLost(registration, storedByTarget.get(registration.target))) continue
      if (registration.host === settings.location.host) this.republish(registration)
      else this.missing.set(registration.target, registration)
    }
    clearTimeout(this.timer)
    if (this.missing.size > 0) this.timer = setTimeout(() => { this.republishMissing() }, HOST_TIMEOUT_MS + HOST_TIMEOUT_JITTER_MS * random.fraction())
  }

  /** Notes that the log holds a registration. */
  recordStored (registration: Registrations.Registration): void {
    const missing = this.missing.get(registration.target)
    if (missing !== undefined && !isLost(missing, registration)) this.missing.delete(registration.target)
  }

  /** Publishes a registration of this host that only a peer still knew: the log has lost it or never got it. */
  recordFromPeer (registration: Registrations.Registration): void {
    if (registration.host === this.dependencies.settings.location.host) this.republish(registration)
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private republishMissing (): void {
    const isReadThroughRelay = this.dependencies.sharedLog.relay !== undefined
    if (!isReadThroughRelay) for (const registration of this.missing.values()) this.republish(registration)
    this.missing.clear()
  }

  private republish (registration: Registrations.Registration): void {
    const { target, host, state, sequence } = registration
    this.dependencies.log.info('shared log has lost a registration; publishing it again', { target, host, state, sequence })
    void this.dependencies.registrar.republish(registration)
  }
}

function isLost (registration: Registrations.Registration, stored: Registrations.Registration | undefined): boolean {
  return stored === undefined || (Registrations.isNewer(registration, stored) && !RegistrationRecords.isSameState(registration, stored))
}
