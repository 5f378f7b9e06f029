/** Differences between two fleet configurations, shown to operators and to publishers after a publication conflict. */
import type * as FleetConfigurations from './fleet-configuration.js'

export interface Change {
  /** `defaults` or the name of the exception. */
  readonly section: string
  readonly field: string
  /** Value as JSON text; absent when the field is not set. */
  readonly before?: string
  readonly after?: string
}

type Fields = Readonly<Record<string, unknown>>

function compareFields (section: string, before: Fields, after: Fields): Change[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return names.flatMap(field => {
    const beforeText = JSON.stringify(before[field]) as string | undefined
    const afterText = JSON.stringify(after[field]) as string | undefined
    if (beforeText === afterText) return []
    return [{ section, field, ...(beforeText === undefined ? {} : { before: beforeText }), ...(afterText === undefined ? {} : { after: afterText }) }]
  })
}

function exceptionFields (fleet: FleetConfigurations.FleetConfiguration, name: string): Fields {
  const exception = fleet.exceptions.find(candidate => candidate.name === name)
  if (exception === undefined) return {}
  const { overrides, scope, reason, owner, expires } = exception
  return { ...overrides, scope, reason, owner, expires }
}

/** Returns the changed fields of the defaults, then those of each exception. */
export function differencesBetween (before: FleetConfigurations.FleetConfiguration, after: FleetConfigurations.FleetConfiguration): readonly Change[] {
  const names = [...new Set([...before.exceptions, ...after.exceptions].map(exception => exception.name))]
  return [
    ...compareFields('defaults', { ...before.defaults }, { ...after.defaults }),
    ...names.flatMap(name => compareFields(name, exceptionFields(before, name), exceptionFields(after, name)))
  ]
}
