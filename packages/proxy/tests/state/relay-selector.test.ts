import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as RelaySelectors from '../../src/state/relay-selector.js'
import * as SharedLogs from '../../src/state/shared-log.js'

const HOSTS = Array.from({ length: 29 }, (_, index) => Decisions.Ids.endpoint(`10.0.0.${index}:80`))

function at (milliseconds: number): Decisions.Clock.Milliseconds {
  return Decisions.Clock.milliseconds(milliseconds)
}

function relay (host: Decisions.Ids.Endpoint, contactAt: number): RelaySelectors.Relay {
  const position = { epoch: SharedLogs.epoch(0), offset: 1 }
  return { host, positions: { configuration: position, targets: position }, contactAt: at(contactAt) }
}

function endpointAt (group: readonly Decisions.Ids.Endpoint[], index: number): Decisions.Ids.Endpoint {
  return group[index] ?? Decisions.Ids.endpoint('')
}

const [FIRST, SECOND, THIRD] = [0, 1, 2].map(index => endpointAt(RelaySelectors.groupOf(endpointAt(HOSTS, 0), HOSTS), index)) as [Decisions.Ids.Endpoint, Decisions.Ids.Endpoint, Decisions.Ids.Endpoint]

// Guards against nodes of one group that expect different relays, so that each of them reads the log.
test('all nodes of a group agree on its order', () => {
  const [expected, ...others] = HOSTS.map(host => RelaySelectors.groupOf(host, HOSTS))
  for (const other of others) assert.deepEqual(other, expected)
  const small = HOSTS.slice(0, 9).map(host => RelaySelectors.groupOf(host, HOSTS.slice(0, 9)))
  for (const group of small) assert.deepEqual(group, small[0])
  assert.equal(small[0]?.length, 9, 'a small data center has a relay too')
  assert.deepEqual(RelaySelectors.groupOf(endpointAt(HOSTS, 0), HOSTS.slice(0, 1)), [], 'a node that is alone needs no relay')
})

// Guards against a relay whose work grows with the data center.
test('large data center is divided into groups of bounded size', () => {
  const hosts = Array.from({ length: 867 }, (_, index) => Decisions.Ids.endpoint(`10.0.${index >> 8}.${index & 255}:80`))
  const groups = hosts.map(host => RelaySelectors.groupOf(host, hosts))
  assert.ok(groups.every((group, index) => group.length < 100 && group.includes(endpointAt(hosts, index))))
})

// Guards against two relays in a group without failures, and against none.
test('first node of the group is the relay while it announces itself', () => {
  const group = RelaySelectors.groupOf(FIRST, HOSTS)
  assert.equal(new RelaySelectors.RelaySelector(FIRST).isRelay(group, at(0)), true)
  const second = new RelaySelectors.RelaySelector(SECOND)
  for (let now = 0; now <= 10_000; now += 300) {
    second.recordAnnouncement(relay(FIRST, now))
    assert.equal(second.isRelay(group, at(now)), false)
    assert.equal(second.activeRelay(group, at(now))?.host, FIRST)
  }
})

// Guards against a group that relies on a relay which was killed, frozen or cut off from the log.
test('next node becomes the relay when the relay loses contact with the log', () => {
  const group = RelaySelectors.groupOf(FIRST, HOSTS)
  const selectors = [SECOND, THIRD].map(own => new RelaySelectors.RelaySelector(own))
  const becameRelay: (number | undefined)[] = [undefined, undefined]
  for (const selector of selectors) selector.recordAnnouncement(relay(FIRST, 0))
  for (let now = 0; now <= 5_000; now += 100) {
    for (const [index, selector] of selectors.entries()) {
      if (now > RelaySelectors.CONTACT_AGE_MAXIMUM) assert.equal(selector.activeRelay(group, at(now))?.host === FIRST, false)
      if (selector.isRelay(group, at(now))) becameRelay[index] ??= now
    }
    if (becameRelay[0] !== undefined) selectors[1]?.recordAnnouncement(relay(SECOND, now))
  }
  assert.ok((becameRelay[0] ?? Infinity) <= 2 * RelaySelectors.CONTACT_AGE_MAXIMUM + 200)
  assert.equal(becameRelay[1], undefined)
})

// Guards against a relay that is passed over for good after it was frozen.
test('relay that announces itself again is used again', () => {
  const group = RelaySelectors.groupOf(FIRST, HOSTS)
  const selector = new RelaySelectors.RelaySelector(SECOND)
  selector.recordFailure(FIRST, at(0))
  assert.equal(selector.isRelay(group, at(100)), true)
  selector.recordAnnouncement(relay(FIRST, 200))
  assert.equal(selector.isRelay(group, at(200)), false)
})

// Guards against a group without a relay from the moment at which a node joins that comes first in its order.
test('relay goes on until the node before it is active', () => {
  const withoutFirst = RelaySelectors.groupOf(SECOND, HOSTS.filter(host => host !== FIRST))
  const group = RelaySelectors.groupOf(SECOND, HOSTS)
  const selector = new RelaySelectors.RelaySelector(SECOND)
  assert.equal(selector.isRelay(withoutFirst, at(0)), true)
  assert.equal(selector.isRelay(group, at(100)), true)
  selector.recordAnnouncement(relay(FIRST, 200))
  assert.equal(selector.isRelay(group, at(200)), false)
})
