/** How Publication turns a text into a configuration. The parser itself belongs to the configuration package. */
import * as Neverthrow from 'neverthrow'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

/** One fault in a text; the parser's own type says more. */
export interface ParseFailure { readonly kind: string }

/** Must depend on its arguments only: every reader of the log has to accept the same records. */
export type ParseConfiguration =
  (text: string, version: Ids.Version, publication: string) => Neverthrow.Result<Policies.Configuration, readonly ParseFailure[]>

/** Accepts nothing; stands in where an engine is given no parser. */
export const REJECT_ALL: ParseConfiguration =
  () => Neverthrow.err([{ kind: 'no-configuration-parser' }])

const DETAIL_LENGTH = 500

/** Failures as evidence for the journal. */
export function describe (failures: readonly ParseFailure[]): string {
  return JSON.stringify(failures).slice(0, DETAIL_LENGTH)
}
