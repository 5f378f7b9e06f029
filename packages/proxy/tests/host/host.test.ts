import * as assert from 'node:assert/strict'
import * as Http from 'node:http'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Hosts from '../../src/host/host.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as LocalTargets from '../../src/host/local-target.js'
import type * as Works from '../../src/host/work.js'
import * as Logs from '../../src/observation/log.js'
import * as Metrics from '../../src/observation/metrics.js'
import * as PlainDialects from '../support/plain-dialect.js'
import * as Samples from '../support/samples.js'

const TARGET = Decisions.Ids.targetId('t1')
/** Stands still, so that no verdict depends on the speed of the machine. */
const CLOCK = new Decisions.Clock.VirtualClock()

function work (over: Partial<Works.Work> = {}): Works.Work {
  return {
    request: Decisions.Ids.requestId('q'), target: TARGET, origin: Samples.SERVICE, method: 'GET', path: '/', headers: [], repeatable: false, mayTry: false, priority: 1,
    deadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.seconds(20)), latencyObjective: Decisions.Clock.seconds(20),
    usefulUntil: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.milliseconds(300)), mayWait: false, insists: false,
    queued: () => { /* Not watched. */ }, commit: () => Promise.resolve(Buffer.alloc(0)), onWithdrawn: () => { /* Never withdrawn. */ }, ...over
  }
}

async function withHost (status: () => number, use: (host: Hosts.Host, local: LocalTargets.LocalTarget, reports: readonly HostReports.HostReport[]) => Promise<void>): Promise<void> {
  const server = Http.createServer((_request, response) => { setTimeout(() => { response.writeHead(status()).end() }, 20) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const reports: HostReports.HostReport[] = []
  const localTarget = new LocalTargets.LocalTarget()
  localTarget.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 4, state: 'ready', incarnation: Decisions.Ids.incarnation(1), sequence: 1 })
  const host = new Hosts.Host({
    clock: CLOCK, dialect: new PlainDialects.PlainDialect(), log: new Logs.SilentLog(), metrics: new Metrics.Metrics(), localTarget,
    targetAddress: Decisions.Ids.endpoint(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`), version: () => Decisions.Ids.version(1),
    onBreakerChanged: (_target, report) => { reports.push(report) }
  })
  host.resetTarget(4)
  try {
    await use(host, localTarget, reports)
  } finally {
    server.close()
    server.closeAllConnections()
  }
}

test('error closes the target for other work', async () => {
  await withHost(() => 500, async host => {
    assert.equal((await host.run(work())).kind, 'answered')
    assert.deepEqual((await host.run(work())).kind, 'refused')
  })
})

// Found on Cinderfold trouble-1: errors of a called service closed the targets that called it.
test('error after a failed call is no evidence', async () => {
  await withHost(() => 500, async host => {
    const first = host.run(work())
    await new Promise(resolve => setTimeout(resolve, 5))
    host.callFailed()
    await first
    assert.equal((await host.run(work())).kind, 'answered')
  })
})

// Guards against a target that leaves while a request waits for its confirmation.
test('request is refused when the target leaves before it runs', async () => {
  await withHost(() => 200, async (host, local) => {
    const outcome = await host.run(work({
      commit: () => {
        local.recordDeparture(TARGET)
        return Promise.resolve(Buffer.alloc(0))
      }
    }))
    assert.equal(outcome.kind === 'refused' && outcome.reason, 'target-leaving')
  })
})

test('work for another target is refused', async () => {
  await withHost(() => 200, async host => {
    const outcome = await host.run(work({ target: Decisions.Ids.targetId('other') }))
    assert.equal(outcome.kind === 'refused' && outcome.reason, 'target-unknown')
  })
})

// Found on Ceara scale-1: entries asked closed targets 8,064 times for 5,726 answers, since nobody told them of closed gates.
test('changes of the gate are reported', async () => {
  const statuses = [500, 500, 200]
  await withHost(() => statuses.shift() ?? 200, async (host, _local, reports) => {
    await host.run(work())
    await host.run(work({ insists: true }))
    assert.deepEqual(reports.map(({ failures }) => failures), [1, 2])
    await host.run(work({ insists: true }))
    await host.run(work({ insists: true }))
    assert.equal(reports.at(-1)?.closedFor, undefined)
    assert.equal(reports.length, 3)
  })
})
