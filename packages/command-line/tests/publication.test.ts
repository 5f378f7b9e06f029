import * as assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import * as StandIns from '@jasminedale/stand-ins'
import * as Publications from '../src/publication.js'

async function startLog (context: TestContext): Promise<StandIns.LogServices.LogService> {
  const service = new StandIns.LogServices.LogService({ host: '127.0.0.1', port: 0 })
  await service.start()
  context.after(() => service.stop())
  return service
}

function createRequest (service: StandIns.LogServices.LogService, deadline: string, base?: number): Publications.PublicationRequest {
  return { text: `[defaults]\ndeadline = ${deadline}\n`, file: 'fleet.ini', logService: service.url, ...(base === undefined ? {} : { base }) }
}

// Guards against a configuration that is published twice, or reported as failed, because the reply of the log service was lost.
test('a configuration is published once when the reply is lost', async context => {
  const service = await startLog(context)
  service.faults = { ...service.faults, loseReplies: true }
  const first = await Publications.publish(createRequest(service, '2s', 0))
  const repeated = await Publications.publish(createRequest(service, '2s', 0))
  assert.equal(first._unsafeUnwrap().version, 1)
  assert.deepEqual(repeated._unsafeUnwrap(), { ...first._unsafeUnwrap(), appended: false })
  assert.equal((await Publications.publish(createRequest(service, '3s', 1)))._unsafeUnwrap().version, 2)
})

// Guards against two concurrent publications that are both reported as the next version.
test('of two concurrent publications one is accepted and the other gets the difference', async context => {
  const service = await startLog(context)
  const results = await Promise.all([Publications.publish(createRequest(service, '2s', 0)), Publications.publish(createRequest(service, '3s', 0))])
  const failures = results.flatMap(result => (result.isErr() ? [result.error] : []))
  assert.equal(failures.length, 1)
  const [failure] = failures
  assert.equal(failure?.kind, 'publication-conflict')
  assert.deepEqual(failure.changes.map(change => change.field), ['deadline'])
})

// Guards against an outage of the log that is reported as success or with the wrong statement on whether a record may be written.
test('an outage is reported as unavailable', async context => {
  const service = await startLog(context)
  service.faults = { ...service.faults, outage: true }
  const failure = (await Publications.publish(createRequest(service, '2s')))._unsafeUnwrapErr()
  assert.deepEqual([failure.kind, failure.kind === 'log-unavailable' && failure.mayBeWritten], ['log-unavailable', false])
})
