/** Writes the local target's registration to the shared log and retries until the log holds it. */
import * as Decisions from '@jasminedale/decisions'
import * as Delays from '../delay.js'
import type * as Registrations from '../directory/registration.js'
import type * as Logs from '../observation/log.js'
import * as RegistrationRecords from './registration-record.js'
import type * as SharedLogs from './shared-log.js'

/** Delay between two attempts; the actual delay varies at random by up to half of it. */
const RETRY_DELAY = Decisions.Clock.milliseconds(500)

export class Registrar {
  private desired: Registrations.Registration | undefined
  private published: Registrations.Registration | undefined
  private pendingWrite: Promise<void> | undefined
  private isStopped = false

  constructor (private readonly sharedLog: SharedLogs.SharedLog, private readonly log: Logs.Log, private readonly random: Decisions.Random.Random) {}

  /** Publishes the registration. Resolves when it, or a later one, is in the shared log. */
  async publish (registration: Registrations.Registration): Promise<void> {
    this.desired = registration
    this.pendingWrite ??= this.writeDesired().finally(() => { this.pendingWrite = undefined })
    await this.pendingWrite
  }

  /** Publishes the local target's registration again when a delayed write of an earlier state has replaced it in the shared log. */
  async republishIfOutdated (registration: Registrations.Registration): Promise<void> {
    const { desired } = this
    if (desired?.target !== registration.target || this.pendingWrite !== undefined || RegistrationRecords.isSameState(desired, registration)) return
    this.log.info('shared log holds an outdated record of the local target; publishing again', { target: desired.target, state: registration.state })
    this.published = undefined
    await this.publish(desired)
  }

  stop (): void {
    this.isStopped = true
  }

  private async writeDesired (): Promise<void> {
    while (!this.isStopped && this.desired !== undefined && this.desired !== this.published) {
      const registration = this.desired
      const result = await this.sharedLog.put('targets', RegistrationRecords.encode(registration))
      if (result.isOk()) {
        this.published = registration
        this.log.info('registration of the local target published', { target: registration.target, state: registration.state, sequence: registration.sequence })
        continue
      }
      this.log.warn('registration of the local target not published; trying again', { target: registration.target, failure: result.error.kind })
      await Delays.delay(RETRY_DELAY * (0.5 + this.random.fraction()))
    }
  }
}
