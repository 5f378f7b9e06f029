/** Interface of the configuration parser, which the configuration package implements. */
import * as Neverthrow from 'neverthrow'
import type * as Ids from '../core/ids.js'
import type * as Policies from '../core/policy.js'

/** A fault in a text. The parser's own failure type has the details. */
export interface ParseFailure { readonly kind: string }

/** Parses a published text. Must be a pure function, since every reader of the log has to accept the same records. */
export type ParseConfiguration =
  (text: string, version: Ids.Version, publication: string) => Neverthrow.Result<Policies.Configuration, readonly ParseFailure[]>

/** Rejects every text. Used when an engine is given no parser. */
export const REJECT_ALL: ParseConfiguration =
  () => Neverthrow.err([{ kind: 'no-configuration-parser' }])

const DESCRIPTION_LENGTH_MAXIMUM = 500

/** Failures as text for the journal, truncated. */
export function describeFailures (failures: readonly ParseFailure[]): string {
  return JSON.stringify(failures).slice(0, DESCRIPTION_LENGTH_MAXIMUM)
}
