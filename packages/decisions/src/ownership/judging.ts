/** Decides what a node does with a keyed request. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import type * as IdempotencyKeys from './idempotency-key.js'
import type * as IdempotencyTables from './idempotency-table.js'
import type * as OwnershipRules from './ownership-rules.js'

export type Verdict =
  | { readonly kind: 'run' }
  | { readonly kind: 'resend', readonly record: IdempotencyTables.IdempotencyRecord }
  | { readonly kind: 'forward', readonly node: Ids.NodeId }
  | { readonly kind: 'refuse', readonly refusal: Refusals.Refusal }
  /** A promise or a roster may still arrive; `refusal` is the answer if none does. */
  | { readonly kind: 'wait', readonly refusal: Refusals.Refusal }

/** Keys of different services are different keys. */
export function ledgerId (service: Ids.Service, key: IdempotencyKeys.ParsedKey): string {
  return `${service}\u0000${key.text}`
}

function uncertain (detail: string): Verdict {
  return { kind: 'wait', refusal: Refusals.unknown('key-owner-uncertain', detail) }
}

/** No refusal here says "not run": a key that this node knows nothing of may have run elsewhere. */
export function judge (key: IdempotencyKeys.ParsedKey, request: Requests.Request, rules: OwnershipRules.OwnershipRules, turn: Controllers.Turn): Verdict {
  const { identity, keys } = turn.board
  const { service, hop } = request.arrival
  const record = keys.idempotencyTable.get(ledgerId(service, key))
  if (record !== undefined) return { kind: 'resend', record }
  const region = keys.rosters.regionOf(key)
  const roster = region === undefined ? undefined : keys.rosters.get(region)
  if (roster === undefined) return uncertain(`The owners of region ${region ?? 'of the key'} are not known here.`)
  const version = roster.versionAt(key.time)
  if (version === undefined) return { kind: 'refuse', refusal: Refusals.unknown('key-expired', 'The key is older than what nodes remember.') }
  const owner = roster.owner(version.version, service, key.text)
  if (owner === undefined) return uncertain(`Region ${roster.region} has no owners.`)
  if (rules.isSelf(owner, identity)) return own(key, version, rules, turn)
  if (owner.node === identity.node) {
    return { kind: 'refuse', refusal: Refusals.unknown('key-owner-changed', 'The owner of the key restarted and does not know whether it ran.') }
  }
  if (hop === 'entry') return { kind: 'forward', node: owner.node }
  // The sender may know a newer roster than this node; a second forward could go round in circles.
  return { kind: 'wait', refusal: Refusals.unknown('key-owner-changed', `Node ${owner.node} owns the key.`) }
}

function own (key: IdempotencyKeys.ParsedKey, version: Parameters<OwnershipRules.OwnershipRules['covers']>[0], rules: OwnershipRules.OwnershipRules, turn: Controllers.Turn): Verdict {
  const { idempotencyTable: ledger } = turn.board.keys
  if (key.time <= ledger.lowWatermark) return { kind: 'refuse', refusal: Refusals.unknown('key-expired', 'The outcome of keys this old is no longer stored.') }
  if (!rules.covers(version, key.time)) {
    return uncertain('The time in the key is ahead of what the owner may decide; check the clock of the key\'s maker.')
  }
  if (!ledger.admits(key.time)) return { kind: 'refuse', refusal: Refusals.unknown('overloaded', 'The owner of the key has no room for more keys.') }
  return { kind: 'run' }
}
