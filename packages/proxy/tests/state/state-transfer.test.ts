import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Directories from '../../src/directory/directory.js'
import type * as Registrations from '../../src/directory/registration.js'
import * as Logs from '../../src/observation/log.js'
import * as ConfigurationStates from '../../src/state/configuration-state.js'
import * as StateTransfers from '../../src/state/state-transfer.js'
import * as MemoryNetworks from '../support/memory-network.js'
import * as Samples from '../support/samples.js'

const NODE = Decisions.Ids.endpoint('10.0.0.1:80')
const PEER = Decisions.Ids.endpoint('10.0.0.2:80')
const READY: Partial<Registrations.Registration> = { state: 'ready', sequence: 9 }

function createTransfer (network: MemoryNetworks.MemoryNetwork, host: Decisions.Ids.Endpoint, directory: Directories.Directory, configuration = new ConfigurationStates.ConfigurationState()): StateTransfers.StateTransfer {
  return new StateTransfers.StateTransfer({
    clock: new Decisions.Clock.VirtualClock(), log: new Logs.SilentLog(), configuration, directory, nodeRpc: network.rpcOf(host),
    registrationRecovery: { recordFromPeer: () => { /* Ignored. */ } }
  })
}

/** The registration of a target at a node that has asked a peer. */
async function transfer (known: Partial<Registrations.Registration>, atPeer: Partial<Registrations.Registration>): Promise<Registrations.Registration | undefined> {
  const network = new MemoryNetworks.MemoryNetwork()
  const [directory, peerDirectory] = [new Directories.Directory(), new Directories.Directory()]
  directory.merge(Samples.registration('t1', known))
  peerDirectory.merge(Samples.registration('t1', atPeer))
  createTransfer(network, PEER, peerDirectory)
  assert.equal(await createTransfer(network, NODE, directory).fetchFrom(PEER), true)
  return directory.get(Decisions.Ids.targetId('t1'))
}

// Guards against a target that stays in use at nodes which read from peers although it has left without a further announcement.
test('state that changed within one sequence number is transferred', async () => {
  assert.equal((await transfer(READY, { ...READY, state: 'gone' }))?.state, 'gone')
})

// Guards against a target that was started again under its id, and counts its announcements anew.
test('registration of a later process is transferred', async () => {
  const incarnation = Decisions.Ids.incarnation(200)
  assert.equal((await transfer(READY, { ...READY, sequence: 1, incarnation }))?.incarnation, incarnation)
})

// Guards against a node that accepts any request, or none, because it got the configuration from a peer.
test('configuration from a peer has its client accounts', async () => {
  for (const accounts of [undefined, [], [{ name: Decisions.Ids.account('a'), keys: ['k'], priority: 0, rateLimit: { rate: 5, burst: 6 } }]]) {
    const network = new MemoryNetworks.MemoryNetwork()
    const [configuration, peerConfiguration] = [new ConfigurationStates.ConfigurationState(), new ConfigurationStates.ConfigurationState()]
    const routes = [Samples.route({ allowsAnonymous: true })]
    peerConfiguration.replaceIfNewer(Samples.configuration({ accounts, routes }), Decisions.Clock.milliseconds(0))
    createTransfer(network, PEER, new Directories.Directory(), peerConfiguration)
    await createTransfer(network, NODE, new Directories.Directory(), configuration).fetchFrom(PEER)
    assert.deepEqual([configuration.current?.accounts, configuration.current?.routes], [accounts, routes])
  }
})

// Guards against an older state that a peer still has.
test('older registration is not transferred', async () => {
  assert.equal((await transfer({ ...READY, state: 'gone' }, { ...READY, sequence: 20 }))?.state, 'gone')
})
