/** Evaluates `expect` statements after a run. */
import type * as FakeCallers from './fake-caller.js'
import type * as FakeServers from './fake-server.js'
import type * as Fleets from './fleet.js'
import type * as Samples from './samples.js'
import * as Scripts from './script.js'

/** An expectation that did not hold. */
export interface Violation { readonly kind: 'expectation-failed', readonly line: number, readonly expectation: string, readonly seen: string }

interface Run { readonly fleet: Fleets.Fleet, readonly samples: readonly Samples.Sample[] }

const MAX_CASES_SHOWN = 3

export function check (run: Run): readonly Violation[] {
  return Scripts.select(run.fleet.script, 'expect').flatMap(({ expectation, line }) => {
    const seen = findViolation(expectation, run)
    return seen === undefined ? [] : [{ kind: 'expectation-failed' as const, line, expectation: expectation.kind, seen }]
  })
}

/** Describes what was observed instead, or returns undefined if the expectation holds. */
function findViolation (expectation: Scripts.Expectation, run: Run): string | undefined {
  switch (expectation.kind) {
    case 'at-most-once': return describeCases(allRequests(run).filter(request => exceedsExecutionLimit(request, run)), request => `${request.id} ran ${run.fleet.executionsOf(request.id)} times`)
    case 'honest-refusals': return describeCases(allRequests(run).filter(request => hasFalseRefusal(request, run)), request => `${request.id}: ${describe(request)}`)
    case 'whole-answers': return describeCases(allRequests(run).filter(hasWrongAnswer), request => `${request.id}: ${describe(request)}`)
    case 'no-ejections': return describeCases(run.samples.filter(sample => sample.ejected.size > 0), sample => `${sample.at} ms: ${[...sample.ejected].join(' ')}`)
    case 'ejected': return checkEjected(expectation, run)
    case 'in-service': return describeCases(run.samples.filter(sample => Math.abs(sample.at - expectation.time) < 50 && sample.ejected.has(expectation.server)), sample => `ejected at ${sample.at} ms`)
    case 'floor': return checkFloor(expectation, run)
    case 'no-work': return describeCases(executionsWithin(expectation, run), execution => `ran ${execution.id} at ${execution.at} ms`)
    case 'work': return executionsWithin(expectation, run).length > 0 ? undefined : 'no work'
    case 'complete': return checkComplete(expectation, run)
    case 'executions': return checkExecutions(expectation, run)
    case 'crashes': return checkCrashes(expectation, run)
    case 'version': return checkVersion(expectation, run)
  }
}

function describeCases<Item> (items: readonly Item[], show: (item: Item) => string): string | undefined {
  return items.length === 0 ? undefined : `${items.length} cases, first: ${items.slice(0, MAX_CASES_SHOWN).map(show).join('; ')}`
}

function allRequests (run: Run): readonly FakeCallers.CallerRequest[] {
  return run.fleet.callers.flatMap(caller => caller.requests)
}

function describe (request: FakeCallers.CallerRequest): string {
  return request.answers.map(answer => `${answer.kind}${answer.refusal === undefined ? '' : ` (${answer.refusal})`} at ${Math.round(answer.at)} ms, ran ${answer.executions}`).join(', ')
}

/** A non-idempotent request may run once if it has a key, otherwise once per send. */
function exceedsExecutionLimit (request: FakeCallers.CallerRequest, run: Run): boolean {
  return !request.idempotent && run.fleet.executionsOf(request.id) > (request.keyed ? 1 : request.sends)
}

/**
 * A `not-run` refusal is false if a keyed request had already run when the refusal arrived, or if every send was
 * refused as `not-run` and the request ran anyway.
 */
function hasFalseRefusal (request: FakeCallers.CallerRequest, run: Run): boolean {
  const refused = request.answers.filter(answer => answer.kind === 'not-run')
  if (request.keyed && refused.some(answer => answer.executions > 0)) return true
  return refused.length === request.sends && run.fleet.executionsOf(request.id) > 0
}

function hasWrongAnswer (request: FakeCallers.CallerRequest): boolean {
  return request.answers.some(answer => answer.kind === 'complete' && answer.body !== request.id)
}

function isWithin (time: number, window: Scripts.Window): boolean {
  return time >= window.from && time < window.until
}

function checkEjected (expectation: Extract<Scripts.Expectation, { readonly kind: 'ejected' }>, run: Run): string | undefined {
  const found = run.samples.find(sample => sample.at >= expectation.from && sample.ejected.has(expectation.server))
  if (found === undefined) return 'never ejected'
  return found.at <= expectation.until ? undefined : `ejected at ${found.at} ms`
}

function checkFloor (expectation: Extract<Scripts.Expectation, { readonly kind: 'floor' }>, run: Run): string | undefined {
  const targets = [...run.fleet.servers.values()].filter(server => server.service === expectation.service)
  const minimum = Math.ceil(expectation.fraction * targets.length)
  const serving = (sample: Samples.Sample): number => targets.filter(server => !sample.ejected.has(server.name)).length
  return describeCases(run.samples.filter(sample => serving(sample) < minimum), sample => `${serving(sample)} of ${targets.length} in service at ${sample.at} ms`)
}

function executionsWithin (expectation: { readonly server: string } & Scripts.Window, run: Run): readonly FakeServers.Execution[] {
  return run.fleet.servers.get(expectation.server)?.executions.filter(execution => isWithin(execution.at, expectation)) ?? []
}

function checkComplete (expectation: Extract<Scripts.Expectation, { readonly kind: 'complete' }>, run: Run): string | undefined {
  const caller = run.fleet.callers.find(candidate => candidate.statement.name === expectation.caller)
  const created = caller?.requests.filter(request => isWithin(request.createdAt, expectation) && !request.poison && request.answers.length > 0) ?? []
  const completed = created.filter(request => request.answers.some(answer => answer.kind === 'complete' && answer.status === 200))
  if (created.length > 0 && completed.length >= expectation.fraction * created.length) return undefined
  const others = created.filter(request => !completed.includes(request))
  return `${completed.length} of ${created.length}; ${others.slice(0, MAX_CASES_SHOWN).map(request => `${request.id}: ${describe(request)}`).join('; ')}`
}

function checkExecutions (expectation: Extract<Scripts.Expectation, { readonly kind: 'executions' }>, run: Run): string | undefined {
  const requested = allRequests(run).filter(request => request.service === expectation.service && isWithin(request.createdAt, expectation)).length
  const ran = [...run.fleet.servers.values()]
    .filter(server => server.service === expectation.service)
    .flatMap(server => server.executions.filter(execution => isWithin(execution.at, expectation))).length
  return ran <= expectation.fraction * requested ? undefined : `${ran} executions for ${requested} requests`
}

function checkCrashes (expectation: Extract<Scripts.Expectation, { readonly kind: 'crashes' }>, run: Run): string | undefined {
  const seen = [...run.fleet.servers.values()].reduce((sum, server) => sum + server.crashes, 0)
  return seen <= expectation.count ? undefined : `${seen} crashes`
}

function checkVersion (expectation: Extract<Scripts.Expectation, { readonly kind: 'version' }>, run: Run): string | undefined {
  const later = run.samples.filter(sample => sample.at >= expectation.time && sample.lowestVersion < expectation.version)
  return describeCases(later, sample => `version ${sample.lowestVersion} at ${sample.at} ms`)
}
