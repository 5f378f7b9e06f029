import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as AccountTables from '../../src/accounts/account-table.js'
import * as Authentications from '../../src/accounts/authentication.js'
import * as Samples from '../support/samples.js'

const ACCOUNT = { name: Decisions.Ids.account('bakery'), keys: ['k1', 'k2'] }
const CONTEXT: Authentications.AuthenticationContext = {
  accounts: new AccountTables.AccountTable([ACCOUNT]), isCurrent: true, contactAge: 100, revocation: { isStrict: false, period: Decisions.Clock.seconds(5) }
}
const STRICT = { isStrict: true, period: Decisions.Clock.seconds(5) }

function kindOf (key: string | undefined, overrides: Partial<Authentications.AuthenticationContext> = {}, allowsAnonymous = false): string {
  return Authentications.authenticate(Samples.route({ allowsAnonymous }), key, { ...CONTEXT, ...overrides }).kind
}

// Guards against requests that run without a key, and against known keys that are refused.
test('requests need a key of an account', () => {
  for (const key of ACCOUNT.keys) assert.equal(kindOf(key), 'accepted')
  assert.equal(kindOf('k3'), 'key-unknown')
  assert.equal(kindOf(undefined), 'key-unknown')
})

// Guards against calls of backend servers, which carry no key, that are refused, and against a request whose account gets lost.
test('anonymous routes accept any key and recognize known ones', () => {
  for (const key of [undefined, 'k3']) assert.equal(kindOf(key, {}, true), 'accepted')
  assert.deepEqual(Authentications.authenticate(Samples.route({ allowsAnonymous: true }), 'k1', CONTEXT), { kind: 'accepted', account: ACCOUNT })
})

// Guards against deployments without accounts that are refused.
test('without accounts no key is needed', () => {
  assert.equal(kindOf(undefined, { accounts: undefined }), 'accepted')
})

// Guards against a final refusal of a key that a newer configuration has added.
test('an unknown key is not refused for good while a newer configuration may exist', () => {
  assert.equal(kindOf('k3', { isCurrent: false }), 'key-unconfirmed')
  assert.equal(kindOf('k1', { isCurrent: false }), 'accepted')
})

// Guards against a withdrawn key that stays valid on a node without contact to the shared log.
test('strict revocation accepts keys only while a newer configuration can be ruled out', () => {
  assert.equal(kindOf('k1', { revocation: STRICT, contactAge: 5_000 }), 'accepted')
  assert.equal(kindOf('k1', { revocation: STRICT, contactAge: 5_001 }), 'key-unconfirmed')
  assert.equal(kindOf(undefined, { revocation: STRICT, contactAge: 5_001 }, true), 'accepted')
  assert.equal(kindOf('k1', { contactAge: Infinity }), 'accepted')
})
