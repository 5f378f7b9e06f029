import * as assert from 'node:assert/strict'
import * as Http from 'node:http'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Hosts from '../../src/host/host.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as LocalTargets from '../../src/host/local-target.js'
import type * as HostedRequests from '../../src/host/hosted-request.js'
import * as Logs from '../../src/observation/log.js'
import * as Metrics from '../../src/observation/metrics.js'
import * as StubDialects from '../support/stub-dialect.js'
import * as Samples from '../support/samples.js'

const TARGET = Decisions.Ids.targetId('t1')
/** Does not advance, so that no result depends on the speed of the machine. */
const CLOCK = new Decisions.Clock.VirtualClock()

function hostedRequest (overrides: Partial<HostedRequests.HostedRequest> = {}): HostedRequests.HostedRequest {
  return {
    id: Decisions.Ids.requestId('q'), target: TARGET, callerService: Samples.SERVICE, method: 'GET', path: '/', headers: [], route: 'r1', account: undefined, isCall: false, repeatable: false, mayBeProbe: false, priority: 1,
    deadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.seconds(20)), latencyObjective: Decisions.Clock.seconds(20),
    objectiveDeadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.milliseconds(300)), mayQueue: false, mayBypassBreaker: false,
    onQueued: () => { /* Not watched. */ }, commit: () => Promise.resolve(Buffer.alloc(0)), onWithdrawn: () => { /* Never withdrawn. */ }, ...overrides
  }
}

const NO_QUARANTINE: Hosts.HostDependencies['quarantine'] = { blockedFor: () => undefined, recordCrash: () => { /* Ignored. */ }, recordCompletion: () => { /* Ignored. */ } }

async function runWithHost (
  status: () => number, use: (host: Hosts.Host, localTarget: LocalTargets.LocalTarget, reports: readonly HostReports.HostReport[]) => Promise<void>, quarantine = NO_QUARANTINE
): Promise<void> {
  const server = Http.createServer((_request, response) => { setTimeout(() => { response.writeHead(status()).end() }, 20) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const reports: HostReports.HostReport[] = []
  const localTarget = new LocalTargets.LocalTarget()
  localTarget.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(1), sequence: 1 })
  const host = new Hosts.Host({
    clock: CLOCK, dialect: new StubDialects.StubDialect(), log: new Logs.SilentLog(), metrics: new Metrics.Metrics(), localTarget, quarantine,
    targetAddress: Decisions.Ids.endpoint(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`), version: () => Decisions.Ids.version(1),
    onBreakerChanged: (_target, report) => { reports.push(report) },
    onTargetLeaving: () => { /* Ignored. */ }
  })
  host.resetTarget(4)
  try {
    await use(host, localTarget, reports)
  } finally {
    server.close()
    server.closeAllConnections()
  }
}

// Guards against sending non-idempotent requests to a target that has just responded with an error.
test('error response trips the circuit breaker', async () => {
  await runWithHost(() => 500, async host => {
    assert.equal((await host.run(hostedRequest())).kind, 'answered')
    assert.deepEqual((await host.run(hostedRequest())).kind, 'refused')
  })
})

// Guards against errors of a service that trip the circuit breakers of the targets that call it.
test('error after a failed call does not trip the circuit breaker', async () => {
  await runWithHost(() => 500, async host => {
    const first = host.run(hostedRequest())
    await new Promise(resolve => setTimeout(resolve, 5))
    host.recordFailedCall()
    await first
    assert.equal((await host.run(hostedRequest())).kind, 'answered')
  })
})

// Guards against running a request on a target that began to leave while the request waited for its confirmation.
test('request is refused when the target leaves before it runs', async () => {
  await runWithHost(() => 200, async (host, localTarget) => {
    const outcome = await host.run(hostedRequest({
      commit: () => {
        localTarget.recordDeparture(TARGET)
        return Promise.resolve(Buffer.alloc(0))
      }
    }))
    assert.equal(outcome.kind === 'refused' && outcome.reason, 'target-leaving')
  })
})

// Guards against running a request on the successor of its target.
test('request for another target is refused', async () => {
  await runWithHost(() => 200, async host => {
    const outcome = await host.run(hostedRequest({ target: Decisions.Ids.targetId('other') }))
    assert.equal(outcome.kind === 'refused' && outcome.reason, 'target-unknown')
  })
})

// Guards against attempts at tripped targets by entry nodes that were not notified: there were 8,064 for 5,726 answers.
test('changes of the circuit breaker are reported', async () => {
  const statuses = [500, 500, 200]
  await runWithHost(() => statuses.shift() ?? 200, async (host, _localTarget, reports) => {
    await host.run(hostedRequest())
    await host.run(hostedRequest({ mayBypassBreaker: true }))
    assert.deepEqual(reports.map(({ failures }) => failures), [1, 2])
    await host.run(hostedRequest({ mayBypassBreaker: true }))
    await host.run(hostedRequest({ mayBypassBreaker: true }))
    assert.equal(reports.at(-1)?.timeUntilProbe, undefined)
    assert.equal(reports.length, 3)
  })
})

// Guards against a request that a host runs although it crashes targets, because its entry node does not know that yet.
test('blocked request does not run', async () => {
  await runWithHost(() => 200, async host => {
    assert.deepEqual(await host.run(hostedRequest()), { kind: 'refused', reason: 'request-blocked', retryAfter: 60_000 })
  }, { ...NO_QUARANTINE, blockedFor: () => 60_000 })
})
