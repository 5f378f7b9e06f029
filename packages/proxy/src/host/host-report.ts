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
}

const FIELDS = 7
/** Stands for "not closed". */
const OPEN = -1

export function format (report: HostReport): string {
  const { running, waiting, slots, closedFor, failures, serviceTime, version } = report
  return [running, waiting, slots, Math.ceil(closedFor ?? OPEN), failures, Math.round(serviceTime), version].join(' ')
}

/** Undefined when the text is no report; a host without a report is treated as unknown. */
export function parse (text: string | undefined): HostReport | undefined {
  const fields = text?.split(' ').map(Number) ?? []
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
    version: Decisions.Ids.version(version)
  }
}
