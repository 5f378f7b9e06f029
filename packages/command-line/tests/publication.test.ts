import * as assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import * as StandIns from '@jasminedale/stand-ins'
import * as Publications from '../src/publication.js'

async function log (context: TestContext): Promise<StandIns.LogServices.LogService> {
  const service = new StandIns.LogServices.LogService({ host: '127.0.0.1', port: 0 })
  await service.start()
  context.after(() => service.stop())
  return service
}

function order (service: StandIns.LogServices.LogService, deadline: string, base?: number): Publications.Order {
  return { text: `[defaults]\ndeadline = ${deadline}\n`, file: 'fleet.ini', logService: service.url, ...(base === undefined ? {} : { base }) }
}

// Guards against a publication that is made twice, or given up, because its reply was lost.
test('a lost reply publishes once', async context => {
  const service = await log(context)
  service.faults = { ...service.faults, loseReplies: true }
  const first = await Publications.publish(order(service, '2s', 0))
  const repeated = await Publications.publish(order(service, '2s', 0))
  assert.equal(first._unsafeUnwrap().version, 1)
  assert.deepEqual(repeated._unsafeUnwrap(), { ...first._unsafeUnwrap(), appended: false })
  assert.equal((await Publications.publish(order(service, '3s', 1)))._unsafeUnwrap().version, 2)
})

// Guards against two operators who both believe that they published the next version.
test('of racing operators one wins and the other sees the difference', async context => {
  const service = await log(context)
  const results = await Promise.all([Publications.publish(order(service, '2s', 0)), Publications.publish(order(service, '3s', 0))])
  const losers = results.flatMap(result => (result.isErr() ? [result.error] : []))
  assert.equal(losers.length, 1)
  const [loser] = losers
  assert.equal(loser?.kind, 'publication-conflict')
  assert.deepEqual(loser.changes.map(change => change.field), ['deadline'])
})

// Guards against a success, or a promise that nothing was written, while the log is down.
test('an outage is reported as unavailable', async context => {
  const service = await log(context)
  service.faults = { ...service.faults, outage: true }
  const failure = (await Publications.publish(order(service, '2s')))._unsafeUnwrapErr()
  assert.deepEqual([failure.kind, failure.kind === 'log-unavailable' && failure.mayBeWritten], ['log-unavailable', false])
})
