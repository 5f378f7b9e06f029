/** The state of a host that rides on each of its answers to other nodes. */
import * as Decisions from '@jasminedale/decisions'

export interface HostReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Milliseconds until the target may be tried again; undefined when it takes all work. */
  readonly closedFor: number | undefined
  /** Failures of the target since its gate closed. */
  readonly failures: number
  /** Mean service time of the target. */
  readonly serviceTime: Decisions.Clock.Milliseconds
  /** Configuration version in force on the host. */
  readonly version: Decisions.Ids.Version
  /** Closed targets of the same service in the host's data center, for nodes elsewhere; undefined when nothing is said of them. */
  readonly closedNearby?: readonly Decisions.Ids.TargetId[]
}

const FIELDS = 7
/** Stands for "not closed". */
const OPEN = -1
/** Stands for "no neighbour": white space at the end of a field gets lost. */
const NONE = '-'

export function format (report: HostReport): string {
  const { running, waiting, slots, closedFor, failures, serviceTime, version, closedNearby } = report
  const fields = [running, waiting, slots, Math.ceil(closedFor ?? OPEN), failures, Math.round(serviceTime), version]
  return [...fields, ...closedNearby === undefined ? [] : [closedNearby.length === 0 ? NONE : closedNearby.join(',')]].join(' ')
}

/** Undefined when the text is no report; a host without a report is treated as unknown. */
export function parse (text: string | undefined): HostReport | undefined {
  const parts = text?.split(' ') ?? []
  const fields = parts.slice(0, FIELDS).map(Number)
  const nearby = parts[FIELDS]
  const [running, waiting, slots, closedFor, failures, serviceTime, version] = fields
  if (fields.length !== FIELDS || !fields.every(Number.isFinite)) return undefined
  if (running === undefined || waiting === undefined || slots === undefined || closedFor === undefined) return undefined
  if (failures === undefined || serviceTime === undefined || version === undefined) return undefined
  return {
    running,
    waiting,
    slots,
    closedFor: closedFor === OPEN ? undefined : closedFor,
    failures,
    serviceTime: Decisions.Clock.milliseconds(serviceTime),
    version: Decisions.Ids.version(version),
    ...(nearby === undefined ? {} : { closedNearby: nearby === NONE ? [] : nearby.split(',').map(Decisions.Ids.targetId) })
  }
}
