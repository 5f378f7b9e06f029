/** Decides what a node does with a keyed request. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import type * as Keys from './key.js'
import type * as Ledgers from './ledger.js'
import type * as Parts from './parts.js'

export type Verdict =
  | { readonly kind: 'run' }
  | { readonly kind: 'resend', readonly record: Ledgers.KeyRecord }
  | { readonly kind: 'forward', readonly node: Ids.NodeId }
  | { readonly kind: 'refuse', readonly refusal: Refusals.Refusal }
  /** A promise or a roster may still arrive; `refusal` is the answer if none does. */
  | { readonly kind: 'wait', readonly refusal: Refusals.Refusal }

/** Keys of different services are different keys. */
export function ledgerId (service: Ids.Service, key: Keys.Key): string {
  return `${service}\u0000${key.text}`
}

function uncertain (detail: string): Verdict {
  return { kind: 'wait', refusal: Refusals.unknown('key-owner-uncertain', detail) }
}

/** No refusal here says "not run": a key that this node knows nothing of may have run elsewhere. */
export function judge (key: Keys.Key, request: Requests.Request, rules: Parts.Rules, turn: Controllers.Turn): Verdict {
  const { identity, keys } = turn.board
  const { service, hop } = request.arrival
  const record = keys.ledger.get(ledgerId(service, key))
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

function own (key: Keys.Key, version: Parameters<Parts.Rules['covers']>[0], rules: Parts.Rules, turn: Controllers.Turn): Verdict {
  const { ledger } = turn.board.keys
  if (key.time <= ledger.horizon) return { kind: 'refuse', refusal: Refusals.unknown('key-expired', 'The outcome of keys this old is no longer stored.') }
  if (!rules.covers(version, key.time)) {
    return uncertain('The time in the key is ahead of what the owner may decide; check the clock of the key\'s maker.')
  }
  if (!ledger.admits(key.time)) return { kind: 'refuse', refusal: Refusals.unknown('overloaded', 'The owner of the key has no room for more keys.') }
  return { kind: 'run' }
}
