/** The settings in force on this node. Changed settings are applied as far as that is possible without a restart. */
import * as Util from 'node:util'
import type * as Decisions from '@jasminedale/decisions'
import type * as Logs from '../observation/log.js'
import type * as Settings from '../settings.js'

export interface SettingsStateDependencies {
  readonly settings: Settings.ProxySettings
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
}

export class SettingsState {
  private readonly clock: Decisions.Clock.Clock
  private readonly log: Logs.Log
  private inForce: Settings.ProxySettings
  private replacedAt: Decisions.Clock.Milliseconds
  private restartKeys: readonly string[] = []

  constructor ({ settings, clock, log }: SettingsStateDependencies) {
    this.clock = clock
    this.log = log
    this.inForce = settings
    this.replacedAt = clock.now()
  }

  get current (): Settings.ProxySettings {
    return this.inForce
  }

  /** Names of changed settings that come into force only with a restart. */
  get awaitingRestart (): readonly string[] {
    return this.restartKeys
  }

  /** Milliseconds since the settings came into force. */
  age (): number {
    return this.clock.now() - this.replacedAt
  }

  /** Applies the retry budget and the shutdown timeout of changed settings. Settings with the checksum in force change nothing. */
  replace (settings: Settings.ProxySettings): void {
    if (settings.checksum === this.inForce.checksum) return
    const { retryBudget, shutdownTimeout, checksum } = settings
    const before = this.inForce
    this.inForce = { ...before, retryBudget: { ...retryBudget, window: before.retryBudget.window }, shutdownTimeout, checksum }
    this.replacedAt = this.clock.now()
    this.restartKeys = differences(this.inForce, settings)
    this.log.info('settings in force', { checksum, before: before.checksum, awaitingRestart: this.restartKeys })
  }
}

function differences (inForce: Settings.ProxySettings, changed: Settings.ProxySettings): string[] {
  const keys = Object.keys(changed) as (keyof Settings.ProxySettings)[]
  return keys.filter(key => !Util.isDeepStrictEqual(inForce[key], changed[key]))
}
