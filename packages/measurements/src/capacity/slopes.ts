/** Marginal cost of a node, target, exception, service, request or change, fitted over at least four sizes each. */
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import * as Fits from './fit.js'
import * as ObservedEngines from './observed-engine.js'

export interface Slope extends Fits.Line {
  readonly name: string
  readonly unit: string
  readonly points: readonly Fits.Point[]
  /** Size that the users require, and the value of the line at that size. */
  readonly target: number
  readonly atTarget: number
}

const NODE_SIZES = [650, 1_300, 2_600, 5_200]
const TARGET_NODES = 5_200
const TARGETS_PER_NODE = 15
/** 11,000 restarts and 120 failures a day over the whole fleet. */
const RESTARTS_PER_SECOND = 11_120 / 86_400
const IDLE_SECONDS = 60
const EXCEPTION_SIZES = [10, 100, 400, 1_600]
const SERVICE_SIZES = [200, 425, 850, 1_700]
const REQUEST_SIZES = [2_500, 5_000, 10_000, 20_000]
const KEY_SIZES = [6_250, 12_500, 25_000, 50_000]
const LOOKUPS = 2_000
const MEGABYTE_BYTES = 1_048_576
const { Ids } = Decisions

function slope (name: string, unit: string, target: number, points: readonly Fits.Point[]): Slope {
  const line = Fits.fit(points)
  return { name, unit, points, ...line, target, atTarget: line.intercept + line.slope * target }
}

/** Returns the heap in use after a full garbage collection. */
function heapMegabytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed / MEGABYTE_BYTES
}

function arrival (index: number, service: string): Decisions.Events.RequestArrived {
  return {
    kind: 'request-arrived', request: Ids.requestId(`r${index}`), hop: 'entry', service: Ids.service(service), method: 'GET', path: '/',
    signature: Ids.signature(String(index)), replayable: true, earlierAttempts: 0
  }
}

/** Memory, processor time and bytes against the number of nodes with 15 targets each. */
export function nodes (): readonly Slope[] {
  const measured = NODE_SIZES.map(size => {
    const before = heapMegabytes()
    const observed = new ObservedEngines.ObservedEngine(size, TARGETS_PER_NODE)
    observed.populate()
    // The first seconds gossip the updates from `populate` and are not part of the idle cost.
    observed.run(IDLE_SECONDS, 0)
    const memory = heapMegabytes() - before
    const usage = observed.run(IDLE_SECONDS, RESTARTS_PER_SECOND * size / TARGET_NODES)
    const placement = ObservedEngines.ObservedEngine.measureTime(LOOKUPS, index => { observed.step([arrival(index, `service-${index % 100}`)]) })
    return { size, memory, ...usage, placement }
  })
  const points = (field: 'memory' | 'processor' | 'sent' | 'placement'): readonly Fits.Point[] =>
    measured.map(entry => ({ size: entry.size, value: entry[field] }))
  return [
    slope('members and targets, heap', 'MB', TARGET_NODES, points('memory')),
    slope('control, processor time', 'µs/s', TARGET_NODES, points('processor')),
    slope('control, sent', 'B/s', TARGET_NODES, points('sent')),
    slope('placement of a request', 'µs', TARGET_NODES, points('placement'))
  ]
}

function configurationText (exceptions: number): string {
  const sections = Array.from({ length: exceptions }, (_, index) =>
    `[exception e${index}]\nservice = service-${index}\npath-prefix = /route-${index}\nreason = Measured by the capacity command.\ndeadline = 3s\n`)
  return `[defaults]\ndeadline = 2s\n${sections.join('\n')}`
}

/** Time to parse a configuration change and to look up a policy, against the number of exceptions. */
export function exceptions (): readonly Slope[] {
  const measured = EXCEPTION_SIZES.map(size => {
    const content = configurationText(size)
    const parse = ObservedEngines.ObservedEngine.measureTime(5, () => { Configuration.FleetConfigurations.parseFleetConfiguration(content, 'capacity') })
    const configuration = Configuration.FleetConfigurations.parseConfiguration(content, Ids.version(1), 'p')._unsafeUnwrap()
    const now = Decisions.Clock.milliseconds(0)
    const lookup = ObservedEngines.ObservedEngine.measureTime(LOOKUPS, index => {
      Decisions.Policies.policyFor(configuration, { service: Ids.service(`service-${index % size}`), path: '/', method: 'GET' }, now)
    })
    return { size, parse, lookup, bytes: content.length }
  })
  const target = EXCEPTION_SIZES.at(-1) ?? 0
  return [
    slope('parsing a change', 'µs', target, measured.map(({ size, parse }) => ({ size, value: parse }))),
    slope('policy of a request', 'µs', target, measured.map(({ size, lookup }) => ({ size, value: lookup }))),
    slope('text of a configuration', 'B', target, measured.map(({ size, bytes }) => ({ size, value: bytes })))
  ]
}

/** Burn counters and routing state, against the number of services that an entry sees. */
export function services (): Slope {
  const points = SERVICE_SIZES.map(size => {
    const observed = new ObservedEngines.ObservedEngine(2, 1)
    const before = heapMegabytes()
    for (let index = 0; index < size; index += 1) observed.step([arrival(index, `service-${index}`)])
    return { size, value: heapMegabytes() - before }
  })
  return slope('services seen by an entry, heap', 'MB', SERVICE_SIZES.at(-1) ?? 0, points)
}

/** Memory of the key owner's idempotency table with a stored answer of 160 bytes per key; its limit is 50,000 keys. */
export function keys (): Slope {
  const points = KEY_SIZES.map(size => {
    const ledger = new Decisions.IdempotencyTables.IdempotencyTable()
    const before = heapMegabytes()
    for (let index = 0; index < size; index += 1) addKey(ledger, index)
    const value = heapMegabytes() - before
    // Reading the size keeps the table reachable until the heap has been measured.
    return { size: ledger.size, value }
  })
  return slope('keys in the ledger, heap', 'MB', KEY_SIZES.at(-1) ?? 0, points)
}

function addKey (ledger: Decisions.IdempotencyTables.IdempotencyTable, index: number): void {
  const id = `service-${index % 100} 01939f0e-7c1a-7abc-8def-${String(index).padStart(12, '0')}`
  ledger.start(id, Decisions.Clock.milliseconds(index), Ids.signature(Decisions.Rendezvous.digest(id)), Ids.requestId(`n1.1.${index}`))
  const record = ledger.get(id)
  if (record !== undefined) ledger.finish(record, { kind: 'complete', status: 201, body: `${index}`.padEnd(160, 'x') })
}

/** Processing time of complete local requests. */
export function requests (): Slope {
  const points = REQUEST_SIZES.map(size => {
    const observed = new ObservedEngines.ObservedEngine(2, 0)
    const target = Ids.targetId('local')
    observed.step([{ kind: 'target-announced', target, service: Ids.service('s'), address: Ids.endpoint('127.0.0.1:1'), slots: 64, incarnation: Ids.incarnation(1) }])
    const each = ObservedEngines.ObservedEngine.measureTime(size, index => { serve(observed, index) })
    return { size, value: each * size / 1_000 }
  })
  return slope('decisions of whole requests', 'ms', 590_000 / TARGET_NODES, points)
}

function serve (observed: ObservedEngines.ObservedEngine, index: number): void {
  const time = Decisions.Clock.milliseconds(20)
  for (const command of observed.step([arrival(index, 's')])) {
    if (command.kind !== 'dispatch') continue
    const { request, attempt } = command
    observed.step([{ kind: 'attempt-responded', request, attempt, status: 200, shed: false, serviceTime: time }])
    observed.step([{ kind: 'attempt-finished', request, attempt, end: { kind: 'complete', status: 200, bytes: 1_000 }, elapsed: time }])
  }
}
