/** Settings of one node process: its addresses and location. They come from a local file, never from the log. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as Documents from './document.js'
import type * as Failures from './failure.js'
import * as SectionReaders from './section-reader.js'
import * as ValueTypes from './value-type.js'

export interface ProcessSettings {
  readonly node: Decisions.Ids.NodeId
  readonly address: Decisions.Ids.Endpoint
  readonly dataCenter: Decisions.Ids.DataCenter
  readonly region: Decisions.Ids.Region
  readonly seeds: readonly Decisions.Ids.Endpoint[]
  /** Base URL of the log service. */
  readonly logService: string
  /** Receiver of metrics in the statsd protocol. Metrics are not sent when it is absent. */
  readonly statsd?: Decisions.Ids.Endpoint
  readonly logLevel: LogLevel
}

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal'

const OCTET = '(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)'
const PORT = '(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d{2}|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})'
const ENDPOINT_PATTERN = `${OCTET}(?:\\.${OCTET}){3}:${PORT}`
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/
const NAME_ALLOWED = 'lower-case letters, digits and hyphens, at most 63'

const ENDPOINT = ValueTypes.text<Decisions.Ids.Endpoint>(new RegExp(`^${ENDPOINT_PATTERN}$`), 'an IP address and port such as 10.0.0.7:7400')
const ENDPOINTS = ValueTypes.text<string>(new RegExp(`^${ENDPOINT_PATTERN}(?:\\s*,\\s*${ENDPOINT_PATTERN})*$`), 'IP addresses with ports, separated by commas')
const LOG_SERVICE = ValueTypes.text<string>(new RegExp(`^https?://${ENDPOINT_PATTERN}$`), 'a URL with an IP address and port, such as http://10.0.0.2:7300')
const LOG_LEVEL = ValueTypes.choice<LogLevel>('trace', 'debug', 'info', 'warn', 'error', 'fatal')

/** Reads section `[node]`. Missing or invalid required values become empty; the failures recorded for them make the whole parse fail. */
function readNodeSection (reader: SectionReaders.SectionReader): ProcessSettings {
  const statsd = reader.readOptional('statsd', ENDPOINT)
  const seeds = reader.readOptional('seeds', ENDPOINTS) ?? ''
  const settings: ProcessSettings = {
    node: reader.readRequired('id', ValueTypes.text<Decisions.Ids.NodeId>(NAME_PATTERN, NAME_ALLOWED)) ?? Decisions.Ids.nodeId(''),
    address: reader.readRequired('address', ENDPOINT) ?? Decisions.Ids.endpoint(''),
    dataCenter: reader.readRequired('data-center', ValueTypes.text<Decisions.Ids.DataCenter>(NAME_PATTERN, NAME_ALLOWED)) ?? Decisions.Ids.dataCenter(''),
    region: reader.readRequired('region', ValueTypes.text<Decisions.Ids.Region>(NAME_PATTERN, NAME_ALLOWED)) ?? Decisions.Ids.region(''),
    seeds: seeds.split(',').map(seed => seed.trim()).filter(seed => seed !== '').map(Decisions.Ids.endpoint),
    logService: reader.readRequired('log-service', LOG_SERVICE) ?? '',
    logLevel: reader.readOptional('log-level', LOG_LEVEL) ?? 'info',
    ...(statsd === undefined ? {} : { statsd })
  }
  reader.rejectOthers()
  return settings
}

/** Parses and checks the settings of a node process: one section `[node]`. */
export function parseProcessSettings (text: string, file: string): neverthrow.Result<ProcessSettings, readonly Failures.Failure[]> {
  const document = Documents.parse(text, file)
  const failures = [...document.failures]
  for (const section of document.sections.filter(candidate => candidate.name !== 'node')) {
    failures.push({ kind: 'unknown-section', file, line: section.line, section: section.name, key: '', value: '', allowed: '[node]' })
  }
  const section = document.sections.find(candidate => candidate.name === 'node') ?? { name: 'node', line: 0, entries: [] }
  const settings = readNodeSection(new SectionReaders.SectionReader(document, section, failures))
  return failures.length === 0 ? neverthrow.ok(settings) : neverthrow.err(failures)
}
