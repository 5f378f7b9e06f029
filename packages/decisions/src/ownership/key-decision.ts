/** Decides whether a node runs, forwards, refuses or defers a keyed request. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Refusals from '../core/refusal.js'
import type * as Requests from '../routing/requests.js'
import type * as IdempotencyKeys from './idempotency-key.js'
import type * as IdempotencyTables from './idempotency-table.js'
import type * as OwnershipRules from './ownership-rules.js'

export type KeyDecision =
  | { readonly kind: 'run' }
  /** The key has a record on this node, which determines the answer. */
  | { readonly kind: 'resend', readonly record: IdempotencyTables.IdempotencyRecord }
  | { readonly kind: 'forward', readonly node: Ids.NodeId }
  | { readonly kind: 'refuse', readonly refusal: Refusals.Refusal }
  /** A promise or a roster that is needed may still arrive; `refusal` is the answer if it does not. */
  | { readonly kind: 'wait', readonly refusal: Refusals.Refusal }

/** Id of a key's record. It contains the service, so that services need not use distinct keys. */
export function recordId (service: Ids.Service, key: IdempotencyKeys.ParsedKey): string {
  return `${service}\u0000${key.text}`
}

function waitForOwner (detail: string): KeyDecision {
  return { kind: 'wait', refusal: Refusals.unknown('key-owner-uncertain', detail) }
}

/** All refusals have the outcome `unknown`: a key that has no record on this node may have run on another one. */
export function decide (key: IdempotencyKeys.ParsedKey, request: Requests.Request, rules: OwnershipRules.OwnershipRules, context: Controllers.StepContext): KeyDecision {
  const { identity, keys } = context.board
  const { service, hop } = request.arrival
  const record = keys.idempotencyTable.get(recordId(service, key))
  if (record !== undefined) return { kind: 'resend', record }
  const region = keys.rosters.regionOf(key)
  const roster = region === undefined ? undefined : keys.rosters.get(region)
  if (roster === undefined) return waitForOwner(`The owners of region ${region ?? 'of the key'} are not known here.`)
  const version = roster.versionAt(key.time)
  if (version === undefined) return { kind: 'refuse', refusal: Refusals.unknown('key-expired', 'The key is older than what nodes remember.') }
  const owner = roster.owner(version.version, service, key.text)
  if (owner === undefined) return waitForOwner(`Region ${roster.region} has no owners.`)
  if (rules.isSelf(owner, identity)) return decideAsOwner(key, version, rules, context)
  if (owner.node === identity.node) {
    return { kind: 'refuse', refusal: Refusals.unknown('key-owner-changed', 'The owner of the key restarted and does not know whether it ran.') }
  }
  if (hop === 'entry') return { kind: 'forward', node: owner.node }
  // The sender may know a newer roster than this node. Forwarding again could loop between nodes, so the request waits for that roster.
  return { kind: 'wait', refusal: Refusals.unknown('key-owner-changed', `Node ${owner.node} owns the key.`) }
}

function decideAsOwner (key: IdempotencyKeys.ParsedKey, version: Parameters<OwnershipRules.OwnershipRules['isPromised']>[0], rules: OwnershipRules.OwnershipRules, context: Controllers.StepContext): KeyDecision {
  const { idempotencyTable } = context.board.keys
  if (key.time <= idempotencyTable.lowWatermark) return { kind: 'refuse', refusal: Refusals.unknown('key-expired', 'The outcome of keys this old is no longer stored.') }
  if (!rules.isPromised(version, key.time)) {
    return waitForOwner('The time in the key is ahead of what the owner may decide; check the clock of the key\'s maker.')
  }
  if (!idempotencyTable.makeRoomFor(key.time)) return { kind: 'refuse', refusal: Refusals.unknown('overloaded', 'The owner of the key has no room for more keys.') }
  return { kind: 'run' }
}
