/** Parses the text of a scenario into statements. */
import * as neverthrow from 'neverthrow'
import * as Grammar from './generated/scenario.js'
import type * as Scripts from './script.js'
import * as UserFleets from './user-fleets.js'

export interface SyntaxFailure {
  readonly kind: 'scenario-syntax'
  readonly file: string
  readonly line: number
  readonly column: number
  readonly expected: string
}

function statements (text: string): readonly Scripts.Statement[] {
  const parsed = Grammar.parse(text) as Scripts.Statement[]
  return parsed.flatMap(statement => (statement.kind === 'use' ? statements(UserFleets.USER_FLEETS[statement.fleet]) : [statement]))
}

/** Parses a scenario; the grammar is grammar/scenario.peggy. */
export function parse (text: string, file: string): neverthrow.Result<readonly Scripts.Statement[], SyntaxFailure> {
  try {
    return neverthrow.ok(statements(text))
  } catch (error) {
    if (!(error instanceof Grammar.SyntaxError)) throw error
    const { line, column } = error.location.start
    return neverthrow.err({ kind: 'scenario-syntax', file, line, column, expected: error.message })
  }
}
