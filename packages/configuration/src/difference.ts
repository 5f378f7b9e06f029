/** What changed between two configurations, for operators and for publishers that lost a race. */
import type * as FleetConfigurations from './fleet-configuration.js'

export interface Change {
  /** `defaults` or the exception's name. */
  readonly section: string
  readonly field: string
  /** JSON text; absent when the field did not exist. */
  readonly before?: string
  readonly after?: string
}

type Fields = Readonly<Record<string, unknown>>

function compare (section: string, before: Fields, after: Fields): Change[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return names.flatMap(field => {
    const left = JSON.stringify(before[field]) as string | undefined
    const right = JSON.stringify(after[field]) as string | undefined
    if (left === right) return []
    return [{ section, field, ...(left === undefined ? {} : { before: left }), ...(right === undefined ? {} : { after: right }) }]
  })
}

function exceptionFields (fleet: FleetConfigurations.FleetConfiguration, name: string): Fields {
  const exception = fleet.exceptions.find(candidate => candidate.name === name)
  if (exception === undefined) return {}
  const { overrides, scope, reason, owner, expires } = exception
  return { ...overrides, scope, reason, owner, expires }
}

/** Changed fields of the defaults, then of each exception. */
export function differencesBetween (before: FleetConfigurations.FleetConfiguration, after: FleetConfigurations.FleetConfiguration): readonly Change[] {
  const names = [...new Set([...before.exceptions, ...after.exceptions].map(exception => exception.name))]
  return [
    ...compare('defaults', { ...before.defaults }, { ...after.defaults }),
    ...names.flatMap(name => compare(name, exceptionFields(before, name), exceptionFields(after, name)))
  ]
}
