import * as assert from 'node:assert/strict'
import * as Http from 'node:http'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import type * as DependencyControls from '../../src/dependencies/dependency-control.js'
import * as Forwarding from '../../src/host/forwarding.js'
import type * as HostReports from '../../src/host/host-report.js'
import * as Reports from '../../src/host/host-report.js'
import type * as HostedRequests from '../../src/host/hosted-request.js'
import * as Hosts from '../../src/host/host.js'
import * as LocalTargets from '../../src/host/local-target.js'
import * as Logs from '../../src/observation/log.js'
import * as Metrics from '../../src/observation/metrics.js'
import * as Samples from '../support/samples.js'
import * as StubDialects from '../support/stub-dialect.js'

const TARGET = Decisions.Ids.targetId('t1')
const CLOCK = new Decisions.Clock.VirtualClock()
/** Requests take no time on the clock that does not advance. */
const PAST = Decisions.Clock.milliseconds(CLOCK.now() - 1)
const NARROW = Decisions.Ids.service('narrow')
const REPORT: HostReports.HostReport = { running: 2, queued: 1, slots: 4, timeUntilProbe: undefined, failures: 0, serviceTime: Decisions.Clock.milliseconds(210), version: Decisions.Ids.version(7) }

function hostedRequest (overrides: Partial<HostedRequests.HostedRequest> = {}): HostedRequests.HostedRequest {
  return {
    id: Decisions.Ids.requestId('q'), target: TARGET, callerService: Samples.SERVICE, method: 'GET', path: '/', headers: [], route: 'r1', account: undefined, isCall: false, repeatable: false, mayBeProbe: false, priority: 1,
    deadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.seconds(20)), latencyObjective: Decisions.Clock.seconds(20),
    objectiveDeadline: Decisions.Clock.add(CLOCK.now(), Decisions.Clock.seconds(20)), mayQueue: true, mayBypassBreaker: false,
    onQueued: () => { /* Not watched. */ }, commit: () => Promise.resolve(Buffer.alloc(0)), onWithdrawn: () => { /* Never withdrawn. */ }, ...overrides
  }
}

/** Control that refuses requests of one route, and records what the host tells it. */
class ScriptedControl {
  readonly events: string[] = []
  readonly callers: string[] = []
  readonly isEnabled = true

  check ({ route, isCall }: DependencyControls.ObservedRequest): ReturnType<DependencyControls.DependencyControl['check']> {
    return route === 'thinned' && !isCall ? { service: NARROW, fraction: 0.4, age: 100, retryAfter: 2_000 } : undefined
  }

  recordStart ({ route }: DependencyControls.ObservedRequest): (wasRun: boolean) => void {
    this.events.push(`start ${route}`)
    return wasRun => { this.events.push(`end ${route} ${wasRun}`) }
  }

  recordOffer ({ route }: DependencyControls.ObservedRequest, wasRefused: boolean): void {
    this.events.push(`${wasRefused ? 'refused' : 'offer'} ${route}`)
  }

  recordWaiting ({ route }: DependencyControls.ObservedRequest): () => void {
    this.events.push(`wait ${route}`)
    return () => { this.events.push(`leave ${route}`) }
  }

  recordCaller ({ route, callerService }: { readonly route: string, readonly callerService: Decisions.Ids.Service }): void { this.callers.push(`${route} ${callerService}`) }

  resetTarget (): void {
    this.events.length = 0
    this.callers.length = 0
  }

  fraction (): number { return 0.625 }
}

async function runWithHost (use: (host: Hosts.Host, control: ScriptedControl, localTarget: LocalTargets.LocalTarget) => Promise<void>): Promise<void> {
  const server = Http.createServer((_request, response) => { setTimeout(() => { response.writeHead(200).end() }, 20) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const control = new ScriptedControl()
  const localTarget = new LocalTargets.LocalTarget()
  localTarget.applyAnnouncement({ target: TARGET, service: Samples.SERVICE, slots: 1, state: 'ready', incarnation: Decisions.Ids.incarnation(1), sequence: 1 })
  const host = new Hosts.Host({
    clock: CLOCK, dialect: new StubDialects.StubDialect(), log: new Logs.SilentLog(), metrics: new Metrics.Metrics(), localTarget, dependencyControl: control,
    quarantine: { blockedFor: () => undefined, recordCrash: () => { /* Ignored. */ }, recordCompletion: () => { /* Ignored. */ } },
    targetAddress: Decisions.Ids.endpoint(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`), version: () => Decisions.Ids.version(1),
    onBreakerChanged: () => { /* Ignored. */ }, onTargetLeaving: () => { /* Ignored. */ }
  })
  host.resetTarget(1)
  // Opens the connection that the test uses: on a busy machine that may take longer than the host waits for it.
  while ((await host.run(hostedRequest())).kind !== 'answered') host.resetTarget(1)
  control.resetTarget()
  try {
    await use(host, control, localTarget)
  } finally {
    server.close()
    server.closeAllConnections()
  }
}

// Guards against work on a parent whose calls cannot be served, and against refusing calls, whose parents already run.
test('host refuses a parent when the called service is full, and never a call', async () => {
  await runWithHost(async (host, control) => {
    assert.deepEqual(await host.run(hostedRequest({ route: 'thinned', commit: () => assert.fail('it must not be committed') })), { kind: 'refused', reason: 'dependency-full', retryAfter: 2_000 })
    assert.deepEqual(control.events, [])
    assert.equal((await host.run(hostedRequest({ route: 'thinned', isCall: true }))).kind, 'answered')
  })
})

// Guards against a final refusal by a host whose target takes no requests: another host may have the request.
test('host whose target leaves refuses for that reason', async () => {
  await runWithHost(async (host, _control, localTarget) => {
    localTarget.recordLeaving(TARGET)
    const outcome = await host.run(hostedRequest({ route: 'thinned' }))
    assert.equal(outcome.kind === 'refused' && outcome.reason, 'target-leaving')
  })
})

// Guards against cutting off a parent that runs or waits when the called service becomes full.
test('parent that was admitted finishes', async () => {
  await runWithHost(async (host, control) => {
    const [running, waiting] = [host.run(hostedRequest()), host.run(hostedRequest())]
    control.check = () => ({ service: NARROW, fraction: 0.05, age: 0, retryAfter: 2_000 })
    assert.deepEqual((await Promise.all([running, waiting])).map(({ kind }) => kind), ['answered', 'answered'])
  })
})

// Guards against requests that the host refuses and so does not count as evidence of who calls a route.
test('host records from which service each request comes', async () => {
  await runWithHost(async (host, control) => {
    await host.run(hostedRequest({ route: 'thinned' }))
    await host.run(hostedRequest({ callerService: NARROW }))
    assert.deepEqual(control.callers, [`thinned ${Samples.SERVICE}`, `r1 ${NARROW}`])
  })
})

// Guards against demand that is counted twice or not at all, and against a queue length that does not return to zero.
test('demand is recorded once for each request that the host takes or has no time for', async () => {
  await runWithHost(async (host, control) => {
    await Promise.all([
      host.run(hostedRequest({ route: 'first' })), host.run(hostedRequest({ route: 'second' })), host.run(hostedRequest({ route: 'busy', mayQueue: false })),
      host.run(hostedRequest({ route: 'late', objectiveDeadline: PAST, deadline: PAST }))
    ])
    assert.deepEqual(control.events.toSorted(), ['end first true', 'end second true', 'leave second', 'offer first', 'offer second', 'refused late', 'start first', 'start second', 'wait second'])
  })
})

// Guards against a fraction that gets lost on its way, or that a node of another version reads as something else.
test('fraction is a trailing field of the report', async () => {
  await runWithHost(host => {
    assert.equal(host.report().admissionFraction, 0.625)
    return Promise.resolve()
  })
  for (const trippedNearby of [undefined, [], [TARGET]]) {
    const report = { ...REPORT, ...(trippedNearby === undefined ? {} : { trippedNearby }), admissionFraction: 0.625 }
    assert.deepEqual(Reports.parse(Reports.format(report)), report)
  }
  assert.equal(Reports.format({ ...REPORT, trippedNearby: [TARGET], admissionFraction: 0.625 }), `${Reports.format({ ...REPORT, trippedNearby: [TARGET] })} fraction=0.625`)
  assert.deepEqual(Reports.parse(`${Reports.format({ ...REPORT, trippedNearby: [] })} later=x fraction=abc other`), { ...REPORT, trippedNearby: [] })
  assert.deepEqual(Reports.parse(`${Reports.format(REPORT)} fraction=-1`), REPORT)
  const callReport = { ...REPORT, trippedNearby: [], admissionFraction: 0.5, isCallRoute: true as const }
  assert.deepEqual(Reports.parse(Reports.format(callReport)), callReport)
})

// Guards against a call that stands for another demand than its sender states.
test('fraction of the sender is a trailing field of the metadata', () => {
  const metadata: Forwarding.RequestMetadata = {
    target: TARGET, remaining: Decisions.Clock.milliseconds(900), latencyObjective: Decisions.Clock.milliseconds(300), objectiveRemaining: Decisions.Clock.milliseconds(250),
    priority: 2, repeatable: false, mayBeProbe: true, mayQueue: true, mayBypassBreaker: false, callerService: Samples.SERVICE, route: 'fraction=0.9', account: undefined, isCall: true
  }
  assert.deepEqual(Forwarding.parseMetadata(Forwarding.formatMetadata({ ...metadata, senderFraction: 0.5 })), { ...metadata, senderFraction: 0.5 })
  assert.deepEqual(Forwarding.parseMetadata(Forwarding.formatMetadata(metadata)), metadata)
})
