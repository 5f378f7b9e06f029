/** Load and health that a host reports with each response to another node, and in datagrams when its circuit breaker changes. */
import * as Decisions from '@jasminedale/decisions'
import * as TrailingFields from './trailing-field.js'

export interface HostReport {
  /** Requests that hold a slot. */
  readonly running: number
  /** Requests that wait for a slot. */
  readonly queued: number
  readonly slots: number
  /** Milliseconds until the target may get a probe request; undefined unless its circuit breaker is tripped. */
  readonly timeUntilProbe: number | undefined
  /** Failures of the target since its circuit breaker tripped. */
  readonly failures: number
  /** Mean service time of the target. */
  readonly serviceTime: Decisions.Clock.Milliseconds
  /** Configuration version in force on the host. */
  readonly version: Decisions.Ids.Version
  /**
   * Targets of the same service in the host's data center whose circuit breakers are tripped. Read by nodes in other
   * data centers, which get no datagrams from there. Undefined when the report makes no statement about them.
   */
  readonly trippedNearby?: readonly Decisions.Ids.TargetId[]
  /** Fraction of the calls for which the target has room, above 1 with room to spare; undefined means 1. */
  readonly admissionFraction?: number
  /** Whether the route of the request to which the report answers consists of calls from the service of its entry node. */
  readonly isCallRoute?: true
  /** Undefined from nodes that do not learn costs. */
  readonly work?: WorkReport
}

/** Speed of the target and work that it has. */
export interface WorkReport {
  /** How many times longer the target takes than an average one for the same requests. */
  readonly slowness: number
  /** Expected rest of what runs and cost of what waits, in ms of an average target. */
  readonly left: number
  /** Service time in ms of the request that the report answers. */
  readonly served: number | undefined
}

const FIELD_COUNT = 7
const WORK = 'work'
/** Encodes an undefined `timeUntilProbe`. */
const NOT_TRIPPED = -1
/** Encodes an empty list, since trailing white space of a header value is lost. */
const EMPTY_LIST = '-'
const ADMISSION_FRACTION = 'fraction'
const CALL_ROUTE = 'calls'
/** Digits of a fraction. */
const FRACTION_DIGITS = 3
const SLOWNESS_DIGITS = 3

/** Fields separated by spaces, in fixed order, and then those of the form `key=value`; lists by commas. */
export function format (report: HostReport): string {
  const { running, queued, slots, timeUntilProbe, failures, serviceTime, version, trippedNearby, admissionFraction, isCallRoute, work } = report
  const fields = [running, queued, slots, Math.ceil(timeUntilProbe ?? NOT_TRIPPED), failures, Math.round(serviceTime), version]
  const neighbours = trippedNearby === undefined ? [] : [trippedNearby.length === 0 ? EMPTY_LIST : trippedNearby.join(',')]
  const trailing = [
    ...admissionFraction === undefined ? [] : [`${ADMISSION_FRACTION}=${admissionFraction.toFixed(FRACTION_DIGITS)}`],
    ...isCallRoute === true ? [`${CALL_ROUTE}=1`] : [],
    ...work === undefined ? [] : [formatWork(work)]
  ]
  return [...fields, ...neighbours, ...trailing].join(' ')
}

function formatWork ({ slowness, left, served }: WorkReport): string {
  return `${WORK}=${slowness.toFixed(SLOWNESS_DIGITS)},${Math.round(left)},${served === undefined ? '' : Math.round(served)}`
}

/** Undefined without such a field, or when it is not valid. */
function parseWork (text: string | undefined): WorkReport | undefined {
  const [slowness, left, served] = text?.split(',') ?? []
  const [ratio, work, time] = [slowness, left, served].map(value => value === undefined || value === '' ? NaN : Number(value))
  if (ratio === undefined || work === undefined || !(ratio > 0) || !(work >= 0) || !Number.isFinite(ratio) || !Number.isFinite(work)) return undefined
  return { slowness: ratio, left: work, served: time !== undefined && Number.isFinite(time) && time >= 0 ? time : undefined }
}

/** Undefined when the text is not a valid report. */
export function parse (text: string | undefined): HostReport | undefined {
  const parts = text?.split(' ') ?? []
  const fields = parts.slice(0, FIELD_COUNT).map(Number)
  const [trippedNearby] = parts.slice(FIELD_COUNT, FIELD_COUNT + 1).filter(part => !TrailingFields.isTrailing(part))
  const admissionFraction = TrailingFields.readPositive(parts, ADMISSION_FRACTION)
  const work = parseWork(TrailingFields.read(parts, WORK))
  const [running, queued, slots, timeUntilProbe, failures, serviceTime, version] = fields
  if (fields.length !== FIELD_COUNT || !fields.every(Number.isFinite)) return undefined
  if (running === undefined || queued === undefined || slots === undefined || timeUntilProbe === undefined) return undefined
  if (failures === undefined || serviceTime === undefined || version === undefined) return undefined
  return {
    running,
    queued,
    slots,
    timeUntilProbe: timeUntilProbe === NOT_TRIPPED ? undefined : timeUntilProbe,
    failures,
    serviceTime: Decisions.Clock.milliseconds(serviceTime),
    version: Decisions.Ids.version(version),
    ...(trippedNearby === undefined ? {} : { trippedNearby: trippedNearby === EMPTY_LIST ? [] : trippedNearby.split(',').map(Decisions.Ids.targetId) }),
    ...(admissionFraction === undefined ? {} : { admissionFraction }),
    ...(TrailingFields.read(parts, CALL_ROUTE) === '1' ? { isCallRoute: true as const } : {}),
    ...(work === undefined ? {} : { work })
  }
}
