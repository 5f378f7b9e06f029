/** Writes registrations of this host's targets to the shared log and retries until the log holds them. */
import * as Decisions from '@jasminedale/decisions'
import * as Delays from '../delay.js'
import * as Registrations from '../directory/registration.js'
import type * as Logs from '../observation/log.js'
import * as RegistrationRecords from './registration-record.js'
import type * as SharedLogs from './shared-log.js'

/** Delay between two attempts; the actual delay varies at random by up to half of it. */
const RETRY_DELAY = Decisions.Clock.milliseconds(500)

/** What the log is to hold of one target. */
interface Publication {
  desired: Registrations.Registration
  published?: Registrations.Registration | undefined
  pendingWrite?: Promise<void> | undefined
}

export class Registrar {
  private readonly publications = new Map<Decisions.Ids.TargetId, Publication>()
  private isStopped = false

  constructor (private readonly sharedLog: SharedLogs.SharedLog, private readonly log: Logs.Log, private readonly random: Decisions.Random.Random) {}

  /** Publishes the registration. Resolves when it, or a later one of the same target, is in the shared log. */
  async publish (registration: Registrations.Registration): Promise<void> {
    const publication: Publication = this.publications.get(registration.target) ?? { desired: registration }
    this.publications.set(registration.target, publication)
    publication.desired = registration
    publication.pendingWrite ??= this.write(publication).finally(() => { publication.pendingWrite = undefined })
    await publication.pendingWrite
  }

  /** Publishes a registration again when a delayed write of an earlier state has replaced it in the shared log. */
  async republishIfOutdated (registration: Registrations.Registration): Promise<void> {
    const publication = this.publications.get(registration.target)
    if (publication === undefined || publication.pendingWrite !== undefined) return
    const { desired } = publication
    if (RegistrationRecords.isSameState(desired, registration) || !Registrations.isNewer(desired, registration)) return
    this.log.info('shared log holds an outdated record of the local target; publishing again', { target: desired.target, state: registration.state })
    await this.republish(desired)
  }

  /** Publishes a registration, or a newer one of the same target, again because the shared log no longer holds it. */
  async republish (registration: Registrations.Registration): Promise<void> {
    const publication = this.publications.get(registration.target)
    if (publication?.pendingWrite !== undefined) return
    if (publication !== undefined) publication.published = undefined
    await this.publish(publication !== undefined && Registrations.isNewer(publication.desired, registration) ? publication.desired : registration)
  }

  stop (): void {
    this.isStopped = true
  }

  private async write (publication: Publication): Promise<void> {
    while (!this.isStopped && publication.desired !== publication.published) {
      const registration = publication.desired
      const result = await this.sharedLog.put('targets', RegistrationRecords.encode(registration))
      if (result.isOk()) {
        publication.published = registration
        this.log.info('registration of the local target published', { target: registration.target, state: registration.state, sequence: registration.sequence })
        continue
      }
      this.log.warn('registration of the local target not published; trying again', { target: registration.target, failure: result.error.kind })
      await Delays.delay(RETRY_DELAY * (0.5 + this.random.fraction()))
    }
  }
}
