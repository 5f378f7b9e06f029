import * as assert from 'node:assert/strict'
import { mock, test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Logs from '../../src/observation/log.js'
import * as Registrars from '../../src/state/registrar.js'
import * as RegistrationRecords from '../../src/state/registration-record.js'
import * as MemoryLogs from '../support/memory-log.js'
import * as Samples from '../support/samples.js'

const HOST = Decisions.Ids.endpoint('10.0.0.1:80')
const LOCAL = Samples.registration('t1', { host: HOST })
const DEPARTED = Samples.registration('t0', { host: HOST, state: 'gone' })
const STEP_MS = 20

async function advance (milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MS) {
    mock.timers.tick(STEP_MS)
    for (let step = 0; step < 8; step += 1) await new Promise(resolve => { setImmediate(resolve) })
  }
}

async function withRegistrar (run: (registrar: Registrars.Registrar, log: MemoryLogs.MemoryLog) => Promise<void>): Promise<void> {
  mock.timers.enable({ apis: ['setTimeout'] })
  const log = new MemoryLogs.MemoryLog()
  const registrar = new Registrars.Registrar(log.clientOf(HOST), new Logs.SilentLog(), new Decisions.Random.Random(1))
  try {
    await run(registrar, log)
  } finally {
    registrar.stop()
    mock.timers.reset()
  }
}

function states (log: MemoryLogs.MemoryLog): Record<string, string> {
  return Object.fromEntries(log.stored.targets.map(record => RegistrationRecords.decode(record)._unsafeUnwrap()).map(({ target, state }) => [target, state]))
}

// Guards against a registration that is never written because another target of the host deregisters while the log is away.
test('pending registrations of two targets are both published', async () => {
  await withRegistrar(async (registrar, log) => {
    log.isSilent = true
    void registrar.publish(LOCAL)
    void registrar.publish(DEPARTED)
    await advance(3_000)
    log.isSilent = false
    await advance(3_000)
    assert.deepEqual(states(log), { t1: 'ready', t0: 'gone' })
  })
})

// Guards against a newer state in the log that is replaced by an older one which this node still has.
test('newer registration in the log is not replaced', async () => {
  await withRegistrar(async (registrar, log) => {
    void registrar.publish(LOCAL)
    await advance(100)
    const newer = { ...LOCAL, state: 'leaving' as const, sequence: 9 }
    log.stored.targets.push(RegistrationRecords.encode(newer))
    void registrar.republishIfOutdated(newer)
    await advance(100)
    assert.deepEqual(states(log), { t1: 'leaving' })
  })
})
