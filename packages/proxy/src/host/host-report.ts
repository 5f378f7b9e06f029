/** Load and health that a host reports with each response to another node, and in datagrams when its circuit breaker changes. */
import * as Decisions from '@jasminedale/decisions'

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
/** Begins the field for `work`, which follows the others: slowness, work left and service time, separated by commas. */
const WORK_PREFIX = 'work='
/** Encodes an undefined `timeUntilProbe`. */
const NOT_TRIPPED = -1
/** Encodes an empty list, since trailing white space of a header value is lost. */
const EMPTY_LIST = '-'
const SLOWNESS_DIGITS = 3

/** Fields separated by spaces, in fixed order; lists by commas. */
export function format (report: HostReport): string {
  const { running, queued, slots, timeUntilProbe, failures, serviceTime, version, trippedNearby, work } = report
  const fields: (number | string)[] = [running, queued, slots, Math.ceil(timeUntilProbe ?? NOT_TRIPPED), failures, Math.round(serviceTime), version]
  if (trippedNearby !== undefined) fields.push(trippedNearby.length === 0 ? EMPTY_LIST : trippedNearby.join(','))
  if (work !== undefined) fields.push(formatWork(work))
  return fields.join(' ')
}

function formatWork ({ slowness, left, served }: WorkReport): string {
  return `${WORK_PREFIX}${slowness.toFixed(SLOWNESS_DIGITS)},${Math.round(left)},${served === undefined ? '' : Math.round(served)}`
}

/** Undefined without such a field, or when it is not valid. */
function parseWork (field: string | undefined): WorkReport | undefined {
  const [slowness, left, served] = field?.slice(WORK_PREFIX.length).split(',') ?? []
  const [ratio, work, time] = [slowness, left, served].map(text => text === undefined || text === '' ? NaN : Number(text))
  if (ratio === undefined || work === undefined || !(ratio > 0) || !(work >= 0) || !Number.isFinite(ratio) || !Number.isFinite(work)) return undefined
  return { slowness: ratio, left: work, served: time !== undefined && Number.isFinite(time) && time >= 0 ? time : undefined }
}

/** Undefined when the text is not a valid report. */
export function parse (text: string | undefined): HostReport | undefined {
  const parts = text?.split(' ') ?? []
  const fields = parts.slice(0, FIELD_COUNT).map(Number)
  const trippedNearby = parts[FIELD_COUNT]?.includes('=') === true ? undefined : parts[FIELD_COUNT]
  const work = parseWork(parts.find(part => part.startsWith(WORK_PREFIX)))
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
    ...(work === undefined ? {} : { work })
  }
}
