/** Runs a scenario on virtual time. */
import * as Actions from './actions.js'
import * as Expectations from './expectations.js'
import * as Fleets from './fleet.js'
import * as Samples from './samples.js'
import * as Scripts from './script.js'

export interface Outcome {
  readonly title: string
  readonly fleet: Fleets.Fleet
  readonly samples: readonly Samples.Sample[]
  readonly failures: ReadonlyArray<Expectations.Violation | Actions.UnknownName>
}

const DEFAULT_END_MS = 60_000

/** Runs a script to its end. Deterministic: the same script always has the same outcome. */
export function run (script: readonly Scripts.Statement[], engineOptions: Fleets.EngineOptions): Outcome {
  const fleet = new Fleets.Fleet(script, engineOptions)
  const unknown = Actions.schedule(fleet)
  publishInitial(fleet)
  const samples = Samples.record(fleet)
  fleet.timeline.run(Scripts.select(script, 'end')[0]?.time ?? DEFAULT_END_MS)
  const title = Scripts.select(script, 'scenario')[0]?.title ?? 'untitled'
  return { title, fleet, samples, failures: [...unknown, ...Expectations.check({ fleet, samples })] }
}

/** Publishes the `configure` statements as the first configuration. */
function publishInitial (fleet: Fleets.Fleet): void {
  const settings = Scripts.select(fleet.script, 'configure')
  if (settings.length === 0) return
  const sections = [...new Set(['defaults', ...settings.map(setting => setting.section)])]
  const text = sections.map(section => {
    const lines = settings.filter(setting => setting.section === section).map(({ key, value }) => `${key} = ${value}`)
    return [`[${section}]`, ...lines, ''].join('\n')
  }).join('\n')
  const body = JSON.stringify({ base: 0, publication: 'scenario', text })
  fleet.fakeLog.append('configuration', 'scenario', body, () => { /* nodes apply it when they read it from the log */ })
}
