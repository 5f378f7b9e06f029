/** Checks `expect` statements after a run. */
import type * as FakeCallers from './fake-caller.js'
import type * as FakeServers from './fake-server.js'
import type * as Fleets from './fleet.js'
import type * as Samples from './samples.js'
import * as Scripts from './script.js'

/** An expectation that did not hold. */
export interface Violation { readonly kind: 'expectation-failed', readonly line: number, readonly expectation: string, readonly seen: string }

interface Run { readonly fleet: Fleets.Fleet, readonly samples: readonly Samples.Sample[] }

const SHOWN = 3

export function check (run: Run): readonly Violation[] {
  return Scripts.select(run.fleet.script, 'expect').flatMap(({ expectation, line }) => {
    const seen = violation(expectation, run)
    return seen === undefined ? [] : [{ kind: 'expectation-failed' as const, line, expectation: expectation.kind, seen }]
  })
}

/** What was seen instead, or undefined when the expectation holds. */
function violation (expectation: Scripts.Expectation, run: Run): string | undefined {
  switch (expectation.kind) {
    case 'at-most-once': return list(orders(run).filter(order => ranTooOften(order, run)), order => `${order.id} ran ${run.fleet.executionsOf(order.id)} times`)
    case 'honest-refusals': return list(orders(run).filter(order => isDishonest(order, run)), order => `${order.id}: ${describe(order)}`)
    case 'whole-answers': return list(orders(run).filter(hasForeignAnswer), order => `${order.id}: ${describe(order)}`)
    case 'no-ejections': return list(run.samples.filter(sample => sample.ejected.size > 0), sample => `${sample.at} ms: ${[...sample.ejected].join(' ')}`)
    case 'ejected': return ejected(expectation, run)
    case 'in-service': return list(run.samples.filter(sample => Math.abs(sample.at - expectation.time) < 50 && sample.ejected.has(expectation.server)), sample => `ejected at ${sample.at} ms`)
    case 'floor': return floor(expectation, run)
    case 'no-work': return list(work(expectation, run), execution => `ran ${execution.id} at ${execution.at} ms`)
    case 'work': return work(expectation, run).length > 0 ? undefined : 'no work'
    case 'complete': return complete(expectation, run)
    case 'executions': return executions(expectation, run)
    case 'crashes': return crashes(expectation, run)
    case 'version': return version(expectation, run)
  }
}

function list<Item> (items: readonly Item[], show: (item: Item) => string): string | undefined {
  return items.length === 0 ? undefined : `${items.length} cases, first: ${items.slice(0, SHOWN).map(show).join('; ')}`
}

function orders (run: Run): readonly FakeCallers.Order[] {
  return run.fleet.callers.flatMap(caller => caller.orders)
}

function describe (order: FakeCallers.Order): string {
  return order.answers.map(answer => `${answer.kind}${answer.refusal === undefined ? '' : ` (${answer.refusal})`} at ${Math.round(answer.at)} ms, ran ${answer.executions}`).join(', ')
}

/** A keyed order may run once; one without a key, once for each send. */
function ranTooOften (order: FakeCallers.Order, run: Run): boolean {
  return !order.idempotent && run.fleet.executionsOf(order.id) > (order.keyed ? 1 : order.sends)
}

/** "Not run" is wrong when the order had run by then, or when no send can explain a later execution. */
function isDishonest (order: FakeCallers.Order, run: Run): boolean {
  const refused = order.answers.filter(answer => answer.kind === 'not-run')
  if (order.keyed && refused.some(answer => answer.executions > 0)) return true
  return refused.length === order.sends && run.fleet.executionsOf(order.id) > 0
}

function hasForeignAnswer (order: FakeCallers.Order): boolean {
  return order.answers.some(answer => answer.kind === 'complete' && answer.body !== order.id)
}

function within (time: number, window: Scripts.Window): boolean {
  return time >= window.from && time < window.until
}

function ejected (expectation: Extract<Scripts.Expectation, { readonly kind: 'ejected' }>, run: Run): string | undefined {
  const found = run.samples.find(sample => sample.at >= expectation.from && sample.ejected.has(expectation.server))
  if (found === undefined) return 'never ejected'
  return found.at <= expectation.until ? undefined : `ejected at ${found.at} ms`
}

function floor (expectation: Extract<Scripts.Expectation, { readonly kind: 'floor' }>, run: Run): string | undefined {
  const targets = [...run.fleet.servers.values()].filter(server => server.service === expectation.service)
  const least = Math.ceil(expectation.fraction * targets.length)
  const serving = (sample: Samples.Sample): number => targets.filter(server => !sample.ejected.has(server.name)).length
  return list(run.samples.filter(sample => serving(sample) < least), sample => `${serving(sample)} of ${targets.length} in service at ${sample.at} ms`)
}

function work (expectation: { readonly server: string } & Scripts.Window, run: Run): readonly FakeServers.Execution[] {
  return run.fleet.servers.get(expectation.server)?.executions.filter(execution => within(execution.at, expectation)) ?? []
}

function complete (expectation: Extract<Scripts.Expectation, { readonly kind: 'complete' }>, run: Run): string | undefined {
  const caller = run.fleet.callers.find(candidate => candidate.statement.name === expectation.caller)
  const created = caller?.orders.filter(order => within(order.createdAt, expectation) && !order.poison && order.answers.length > 0) ?? []
  const good = created.filter(order => order.answers.some(answer => answer.kind === 'complete' && answer.status === 200))
  if (created.length > 0 && good.length >= expectation.fraction * created.length) return undefined
  const bad = created.filter(order => !good.includes(order))
  return `${good.length} of ${created.length}; ${bad.slice(0, SHOWN).map(order => `${order.id}: ${describe(order)}`).join('; ')}`
}

function executions (expectation: Extract<Scripts.Expectation, { readonly kind: 'executions' }>, run: Run): string | undefined {
  const requested = orders(run).filter(order => order.service === expectation.service && within(order.createdAt, expectation)).length
  const ran = [...run.fleet.servers.values()]
    .filter(server => server.service === expectation.service)
    .flatMap(server => server.executions.filter(execution => within(execution.at, expectation))).length
  return ran <= expectation.fraction * requested ? undefined : `${ran} executions for ${requested} requests`
}

function crashes (expectation: Extract<Scripts.Expectation, { readonly kind: 'crashes' }>, run: Run): string | undefined {
  const seen = [...run.fleet.servers.values()].reduce((sum, server) => sum + server.crashes, 0)
  return seen <= expectation.count ? undefined : `${seen} crashes`
}

function version (expectation: Extract<Scripts.Expectation, { readonly kind: 'version' }>, run: Run): string | undefined {
  const later = run.samples.filter(sample => sample.at >= expectation.time && sample.lowestVersion < expectation.version)
  return list(later, sample => `version ${sample.lowestVersion} at ${sample.at} ms`)
}
