/** Fleet configuration: `[defaults]` and any number of `[exception NAME]` sections. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as Documents from './document.js'
import type * as Failures from './failure.js'
import * as PolicyKeys from './policy-keys.js'
import * as SectionReaders from './section-reader.js'
import * as ValueTypes from './value-type.js'

/** The defaults and exceptions of a configuration file, without a version. */
export type FleetConfiguration = Pick<Decisions.Policies.Configuration, 'defaults' | 'exceptions'>

const EXCEPTION_HEADING = /^exception ([a-z0-9][a-z0-9-]*)$/
const SERVICE = ValueTypes.text<Decisions.Ids.Service>(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a service name of lower-case letters, digits and hyphens')
const PATH_PREFIX = ValueTypes.text<string>(/^\/\S*$/, 'a path that starts with /')
const METHOD = ValueTypes.text<string>(/^[A-Z]{3,10}$/, 'an HTTP method in capitals, such as POST')
const ACCOUNT = ValueTypes.text<Decisions.Ids.Account>(/^\S{1,128}$/, 'an account id without spaces')
const REASON = ValueTypes.text<string>(/^.{10,400}$/, 'a sentence of 10 to 400 characters')
const OWNER = ValueTypes.text<string>(/^.{1,200}$/, 'the person or team that owns the exception, at most 200 characters')

type Overrides = Partial<Decisions.Policies.Policy>

function readOverrides (reader: SectionReaders.SectionReader): Overrides {
  const entries = [...PolicyKeys.POLICY_KEYS].flatMap(([key, { name, valueType }]) => {
    const parsed = reader.readOptional(key, valueType)
    return parsed === undefined ? [] : [[name, parsed] as const]
  })
  return Object.fromEntries(entries)
}

/** Checks only pairs of fields of which `overrides` sets at least one, so that an exception does not repeat a failure of the defaults. */
function checkConflicts (reader: SectionReaders.SectionReader, policy: Decisions.Policies.Policy, overrides: Overrides): void {
  const setsAny = (...names: ReadonlyArray<keyof Decisions.Policies.Policy>): boolean => names.some(name => name in overrides)
  if (setsAny('ejectionHold', 'ejectionHoldMaximum') && policy.ejectionHold > policy.ejectionHoldMaximum) {
    reader.recordConflict('ejection-hold', `at most ejection-hold-maximum (${policy.ejectionHoldMaximum}ms)`)
  }
  if (setsAny('deadline', 'deadlineMaximum') && policy.deadline > policy.deadlineMaximum) {
    reader.recordConflict('deadline', `at most deadline-maximum (${policy.deadlineMaximum}ms)`)
  }
}

function readScope (reader: SectionReaders.SectionReader): Decisions.Policies.Scope {
  const service = reader.readOptional('service', SERVICE)
  const pathPrefix = reader.readOptional('path-prefix', PATH_PREFIX)
  const method = reader.readOptional('method', METHOD)
  const account = reader.readOptional('account', ACCOUNT)
  return {
    ...(service === undefined ? {} : { service }),
    ...(pathPrefix === undefined ? {} : { pathPrefix }),
    ...(method === undefined ? {} : { method }),
    ...(account === undefined ? {} : { account })
  }
}

function readException (name: string, reader: SectionReaders.SectionReader, defaults: Decisions.Policies.Policy): Decisions.Policies.Exception {
  const reason = reader.readRequired('reason', REASON) ?? ''
  const owner = reader.readOptional('owner', OWNER)
  const expires = reader.readOptional('expires', ValueTypes.day())
  const scope = readScope(reader)
  const overrides = readOverrides(reader)
  reader.rejectOthers()
  if (Object.keys(scope).length === 0) {
    reader.recordConflict('service', 'at least one of service, path-prefix, method, account; settings for all requests belong in [defaults]')
  }
  if (Object.keys(overrides).length === 0) reader.recordConflict('reason', 'at least one setting that differs from the defaults')
  checkConflicts(reader, { ...defaults, ...overrides }, overrides)
  return { name, reason, ...(owner === undefined ? {} : { owner }), ...(expires === undefined ? {} : { expires }), scope, overrides }
}

function readDefaults (document: Documents.Document, failures: Failures.Failure[]): Decisions.Policies.Policy {
  const section = document.sections.find(candidate => candidate.name === 'defaults')
  if (section === undefined) {
    failures.push({ kind: 'missing-key', file: document.file, line: 0, section: 'defaults', key: '', value: '', allowed: 'one section [defaults]' })
    return Decisions.DefaultPolicy.DEFAULT_POLICY
  }
  const reader = new SectionReaders.SectionReader(document, section, failures)
  const overrides = readOverrides(reader)
  const policy = { ...Decisions.DefaultPolicy.DEFAULT_POLICY, ...overrides }
  reader.rejectOthers()
  checkConflicts(reader, policy, overrides)
  return policy
}

/** Parses and checks a fleet configuration. Returns all failures, ordered by line. */
export function parseFleetConfiguration (text: string, file: string): neverthrow.Result<FleetConfiguration, readonly Failures.Failure[]> {
  const document = Documents.parse(text, file)
  const failures = [...document.failures]
  const defaults = readDefaults(document, failures)
  const exceptions: Decisions.Policies.Exception[] = []
  for (const section of document.sections) {
    if (section.name === 'defaults') continue
    const name = EXCEPTION_HEADING.exec(section.name)?.[1]
    if (name === undefined) {
      failures.push({ kind: 'unknown-section', file, line: section.line, section: section.name, key: '', value: '', allowed: '[defaults] or [exception NAME] with lower-case letters, digits and hyphens' })
      continue
    }
    exceptions.push(readException(name, new SectionReaders.SectionReader(document, section, failures), defaults))
  }
  failures.sort((left, right) => left.line - right.line)
  return failures.length === 0 ? neverthrow.ok({ defaults, exceptions }) : neverthrow.err(failures)
}

/** Parses the text of a published configuration record for the engine. */
export function parseConfiguration (text: string, version: Decisions.Ids.Version, publication: string): neverthrow.Result<Decisions.Policies.Configuration, readonly Failures.Failure[]> {
  return parseFleetConfiguration(text, `version ${version}`).map(fleet => ({ version, publication, ...fleet }))
}
