/** What became of a publisher's record; a pure function for the command line. */
import * as Ids from '../core/ids.js'
import type * as Parsers from './parser.js'
import * as Records from './records.js'

export type PublicationOutcome =
  /** The record became `version`. */
  | { readonly kind: 'accepted', readonly version: Ids.Version }
  /** Another publication was first; `version` is what it became. */
  | { readonly kind: 'lost', readonly version: Ids.Version, readonly publication: string, readonly text: string }
  /** The record is in the log but no reader accepts its text. */
  | { readonly kind: 'invalid', readonly failures: readonly Parsers.ParseFailure[] }
  /** The record is not in the log and nothing else has won: append it again, with the same publication id. */
  | { readonly kind: 'absent' }

export interface ProposalKey { readonly base: Ids.Version, readonly publication: string }

/**
 * Judges a publication by the bodies of the log's records, in log order. They must reach from the record that
 * made version `base`, or the log's start, to the log's end as read after the last append attempt.
 */
export function determine (bodies: readonly string[], mine: ProposalKey, parse: Parsers.ParseConfiguration): PublicationOutcome {
  const version = Ids.version(mine.base + 1)
  const records = bodies.flatMap(body => Records.decode(body).map(record => [record]).unwrapOr([]))
  const snapshots = records.flatMap(record => 'snapshot' in record ? [record] : [])
  const proposals = records.flatMap(record => 'base' in record && record.base === mine.base ? [record] : [])
  // A snapshot of the version itself is certain, even when retention has removed the proposal that won.
  const winner = snapshots.find(record => record.snapshot === version) ??
    proposals.find(record => parse(record.text, version, record.publication).isOk())
  if (winner !== undefined) return outcomeFor(winner, version, mine)
  const later = snapshots.find(record => record.snapshot > version)
  if (later !== undefined) return outcomeFor(later, later.snapshot, mine)
  const own = proposals.find(record => record.publication === mine.publication)
  if (own === undefined) return { kind: 'absent' }
  const parsed = parse(own.text, version, own.publication)
  return { kind: 'invalid', failures: parsed.isErr() ? parsed.error : [] }
}

function outcomeFor (winner: Records.Record, version: Ids.Version, mine: ProposalKey): PublicationOutcome {
  const { publication, text } = winner
  return publication === mine.publication ? { kind: 'accepted', version } : { kind: 'lost', version, publication, text }
}
