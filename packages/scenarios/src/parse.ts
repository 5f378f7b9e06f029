/** Text of a scenario to statements. */
import * as neverthrow from 'neverthrow'
import * as Grammar from './generated/scenario.js'
import type * as Scripts from './script.js'

export interface SyntaxFailure {
  readonly kind: 'scenario-syntax'
  readonly file: string
  readonly line: number
  readonly column: number
  readonly expected: string
}

/** Parses a scenario; the grammar is grammar/scenario.peggy. */
export function parse (text: string, file: string): neverthrow.Result<readonly Scripts.Statement[], SyntaxFailure> {
  try {
    return neverthrow.ok(Grammar.parse(text) as Scripts.Statement[])
  } catch (error) {
    if (!(error instanceof Grammar.SyntaxError)) throw error
    const { line, column } = error.location.start
    return neverthrow.err({ kind: 'scenario-syntax', file, line, column, expected: error.message })
  }
}
