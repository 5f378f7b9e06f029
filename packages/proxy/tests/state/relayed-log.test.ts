import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as Directories from '../../src/directory/directory.js'
import * as Logs from '../../src/observation/log.js'
import * as RelayedLogs from '../../src/state/relayed-log.js'
import * as SharedLogs from '../../src/state/shared-log.js'
import * as MemoryNetworks from '../support/memory-network.js'
import * as Samples from '../support/samples.js'

const NODES = 12
const WAIT = Decisions.Clock.seconds(6)
/** Steps of the event loop that are enough for all reactions to a change. */
const SETTLE_STEPS = 20

/** Shared log in memory that counts the reads of each node. Reads without new records end only when `expire` is called. */
class MemoryLog extends SharedLogs.SharedLog {
  reads = 0
  private readonly epoch = SharedLogs.epoch(0)
  isRefusing = false

  constructor (private readonly stored: SharedLogs.KeyedRecord[], private readonly waiting: (() => void)[]) {
    super()
  }

  override readNewest (): SharedLogs.LogResult<SharedLogs.Batch> {
    this.reads += 1
    return Promise.resolve(neverthrow.ok({ records: [...this.stored], next: this.end() }))
  }

  override async readFrom (_topic: SharedLogs.Topic, { offset }: SharedLogs.Position, wait: Decisions.Clock.Milliseconds): SharedLogs.LogResult<SharedLogs.Batch> {
    this.reads += 1
    if (this.isRefusing) return neverthrow.err({ kind: 'refused', status: 503 })
    if (this.stored.length <= offset && wait > 0) await new Promise<void>(resolve => { this.waiting.push(resolve) })
    return neverthrow.ok({ records: this.stored.slice(offset), next: this.end() })
  }

  private end (): SharedLogs.Position {
    return { epoch: this.epoch, offset: this.stored.length }
  }

  override put (): SharedLogs.LogResult<undefined> {
    return Promise.resolve(neverthrow.ok(undefined))
  }

  override close (): void { /* Nothing is open. */ }
}

interface Member { readonly log: RelayedLogs.RelayedLog, readonly store: MemoryLog, readonly host: Decisions.Ids.Endpoint, applied: number }

/** Nodes of one data center that follow topic `configuration`, on a network in memory and virtual time. */
class Group {
  readonly members: Member[] = []
  readonly stored: SharedLogs.KeyedRecord[] = [{ key: 'config', value: Buffer.from('1') }]
  readonly waiting: (() => void)[] = []
  readonly network = new MemoryNetworks.MemoryNetwork()
  readonly clock = new Decisions.Clock.VirtualClock()

  constructor () {
    for (let index = 0; index < NODES; index += 1) this.members.push(this.createMember(Decisions.Ids.endpoint(`10.0.0.${index}:80`)))
  }

  private createMember (host: Decisions.Ids.Endpoint): Member {
    const directory = new Directories.Directory()
    for (let index = 0; index < NODES; index += 1) directory.merge(Samples.registration(`t${index}`, { host: Decisions.Ids.endpoint(`10.0.0.${index}:80`) }))
    const store = new MemoryLog(this.stored, this.waiting)
    const log = new RelayedLogs.RelayedLog({
      store, directory, clock: this.clock, log: new Logs.SilentLog(), settings: { location: { host, dataCenter: Decisions.Ids.dataCenter('a'), region: Decisions.Ids.region('r') } },
      nodeChannel: this.network.channelOf(host),
      nodeRpc: this.network.rpcOf(host)
    })
    return { log, store, host, applied: 0 }
  }

  async follow (member: Member): Promise<void> {
    const read = await member.log.readNewest('configuration')
    await member.log.readNewest('targets')
    for (let position = read._unsafeUnwrap().next; ;) {
      member.applied = position.offset
      const batch = await member.log.readFrom('configuration', position, WAIT)
      if (batch.isOk()) position = batch.value.next
      else if (batch.error.kind === 'no-answer') return
      else await new Promise(resolve => setImmediate(resolve))
    }
  }

  /** Advances the clock in the interval at which nodes announce themselves. Reads that wait at the log end every other step if `expires`. */
  async advance (milliseconds: number, expires = true): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 300) {
      this.clock.advance(Decisions.Clock.milliseconds(300))
      if (expires && elapsed % 600 === 0) this.expire()
      await this.settle()
      for (const { log } of this.members) log.update()
      await this.settle()
    }
  }

  async publish (value: string): Promise<void> {
    this.stored.push({ key: 'config', value: Buffer.from(value) })
    this.expire()
    await this.settle()
  }

  totalReads (): number {
    return this.members.reduce((sum, { store }) => sum + store.reads, 0)
  }

  /** Lets a node act as if `member` announced itself as relay, with the offset that it has read. */
  announce (member: Member, to: Member, offset = member.applied): void {
    this.network.deliver('relay', [member.host, [0, offset], [0, offset], 0], to.host)
  }

  private expire (): void {
    for (const resolve of this.waiting.splice(0)) resolve()
  }

  private async settle (): Promise<void> {
    for (let step = 0; step < SETTLE_STEPS; step += 1) await new Promise(resolve => setImmediate(resolve))
  }
}

async function startGroup (): Promise<Group> {
  const group = new Group()
  for (const member of group.members) void group.follow(member)
  await group.advance(6_000)
  return group
}

function relayOf (group: Group): Member {
  return group.members.reduce((most, member) => member.store.reads > most.store.reads ? member : most)
}

// Guards against calls to the log that grow with the number of nodes: hundreds of nodes wait for the same changes.
test('one node of the group reads the log', async () => {
  const group = await startGroup()
  const before = group.totalReads()
  await group.publish('2')
  await group.advance(3_000)
  assert.ok(group.members.every(({ applied }) => applied === 2))
  assert.ok(group.totalReads() - before <= 8, `${group.totalReads() - before} reads`)
  for (const { log } of group.members) log.close()
})

// Guards against nodes that miss a configuration because their relay is frozen or cut off while they can reach the log.
test('nodes read the log themselves soon after their relay fell silent', async () => {
  const group = await startGroup()
  const failed = relayOf(group)
  group.network.silent.add(failed.host)
  group.stored.push({ key: 'config', value: Buffer.from('2') })
  await group.advance(1_800)
  assert.ok(group.members.every(({ applied, host }) => applied === 2 || host === failed.host))
  for (const { log } of group.members) log.close()
})

// Guards against a large configuration that delays a relay with a slow link.
test('large record is read from the log', async () => {
  const group = await startGroup()
  const before = group.members.map(({ store }) => store.reads)
  await group.publish('x'.repeat(10_000))
  await group.advance(1_000)
  assert.ok(group.members.every(({ applied }) => applied === 2))
  assert.ok(group.members.every(({ store }, index) => store.reads > (before[index] ?? 0)))
  for (const { log } of group.members) log.close()
})

// Guards against a group that reads the log without a relay for seconds, until the reads end that were waiting when it formed.
test('relay that waits in a long read announces itself', async () => {
  const group = new Group()
  for (const member of group.members) void group.follow(member)
  await group.advance(600, false)
  for (let step = 0; step < 4; step += 1) await group.advance(600, false)
  assert.equal(group.members.filter(({ log }) => log.currentSource === 'as relay').length, 1)
  assert.equal(group.members.filter(({ log }) => log.currentSource.startsWith('10.')).length, NODES - 1)
  for (const { log } of group.members) log.close()
})

// Guards against two relays that read from each other and both miss a change.
test('relay reads the log itself while another node announces itself', async () => {
  const group = await startGroup()
  const relay = relayOf(group)
  const other = group.members.find(member => member !== relay) ?? relay
  for (let step = 0; step < 4; step += 1) {
    group.announce(other, relay)
    const before = relay.store.reads
    await group.advance(600)
    assert.ok(relay.store.reads > before)
  }
  for (const { log } of group.members) log.close()
})

// Guards against a group that relies on a relay whose read hangs on a connection that has died.
test('relay whose read hangs while the log has new records is not relied on', async () => {
  const group = await startGroup()
  const failed = relayOf(group)
  group.stored.push({ key: 'config', value: Buffer.from('2') })
  // No read that waits at the log ends from now on, so that the failed relay itself cannot read on.
  await group.advance(3_600, false)
  assert.deepEqual(group.members.filter(({ applied, host }) => applied !== 2 && host !== failed.host), [])
  for (const { log } of group.members) log.close()
})

// Guards against a node that keeps the role of the relay, and asks a log in vain that refuses it but serves other nodes.
test('relay that the log refuses reads through the next one', async () => {
  const group = await startGroup()
  const refused = relayOf(group)
  refused.store.isRefusing = true
  await group.advance(6_000)
  const before = refused.store.reads
  await group.publish('2')
  await group.advance(1_200)
  assert.ok(group.members.every(({ applied }) => applied === 2))
  assert.equal(refused.store.reads, before)
  for (const { log } of group.members) log.close()
})

// Guards against a node that asks without end for records that its relay announced and no longer has, as after a restart.
test('relay that does not have what it announced is asked once', async () => {
  const group = await startGroup()
  const relay = relayOf(group)
  const reader = group.members.find(member => member !== relay) ?? relay
  const before = group.network.calls
  const reads = reader.store.reads
  group.announce(relay, reader, relay.applied + 1)
  await group.advance(300)
  assert.equal(group.network.calls - before, 1)
  assert.ok(reader.store.reads - reads <= 2, `${reader.store.reads - reads} reads`)
  for (const { log } of group.members) log.close()
})
