/** Determines the outcome of a publication from the records on the log. Used by the command line. */
import * as Ids from '../core/ids.js'
import type * as Parsers from './parser.js'
import * as Records from './records.js'

export type PublicationOutcome =
  /** The record became `version`. */
  | { readonly kind: 'accepted', readonly version: Ids.Version }
  /** Another publication was accepted instead, as `version`. */
  | { readonly kind: 'lost', readonly version: Ids.Version, readonly publication: string, readonly text: string }
  /** The record is on the log, but its text does not parse. */
  | { readonly kind: 'invalid', readonly failures: readonly Parsers.ParseFailure[] }
  /** The record is not on the log and no other was accepted: append it again with the same publication id. */
  | { readonly kind: 'absent' }

/** Identifies a publisher's proposal: the version that it is based on and the publication id. */
export interface ProposalKey { readonly base: Ids.Version, readonly publication: string }

/**
 * Determines the outcome from the bodies of the log's records, in log order. They must extend from the record that
 * became version `base`, or from the log's start, to the log's end as read after the last attempt to append.
 */
export function determine (bodies: readonly string[], key: ProposalKey, parse: Parsers.ParseConfiguration): PublicationOutcome {
  const version = Ids.version(key.base + 1)
  const records = bodies.flatMap(body => Records.decode(body).map(record => [record]).unwrapOr([]))
  const snapshots = records.flatMap(record => 'snapshot' in record ? [record] : [])
  const proposals = records.flatMap(record => 'base' in record && record.base === key.base ? [record] : [])
  // A snapshot of the version is conclusive, even if retention has removed the accepted proposal.
  const winner = snapshots.find(record => record.snapshot === version) ??
    proposals.find(record => parse(record.text, version, record.publication).isOk())
  if (winner !== undefined) return outcomeFor(winner, version, key)
  const later = snapshots.find(record => record.snapshot > version)
  if (later !== undefined) return outcomeFor(later, later.snapshot, key)
  const ownProposal = proposals.find(record => record.publication === key.publication)
  if (ownProposal === undefined) return { kind: 'absent' }
  const parsed = parse(ownProposal.text, version, ownProposal.publication)
  return { kind: 'invalid', failures: parsed.isErr() ? parsed.error : [] }
}

function outcomeFor (winner: Records.Record, version: Ids.Version, key: ProposalKey): PublicationOutcome {
  const { publication, text } = winner
  return publication === key.publication ? { kind: 'accepted', version } : { kind: 'lost', version, publication, text }
}
