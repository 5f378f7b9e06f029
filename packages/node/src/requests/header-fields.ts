/** Header fields of the protocol between nodes, described in docs/design.md, section 3. */
import * as Decisions from '@jasminedale/decisions'

export const HOP = 'jasminedale-hop'
export const SERVICE = 'jasminedale-service'
export const TARGET = 'jasminedale-target'
export const FROM = 'jasminedale-from'
export const ATTEMPTS = 'jasminedale-attempts'
export const DEADLINE = 'jasminedale-deadline'
export const SIGNATURE = 'jasminedale-signature'
export const BASELINE = 'jasminedale-baseline'
export const OUTCOME = 'jasminedale-outcome'
export const SERVICE_TIME = 'jasminedale-service-time'
export const ACCOUNT = 'jasminedale-account'
export const IDEMPOTENCY_KEY = 'idempotency-key'

const BASELINE_FIELDS = 4

/** Parses four finite numbers. An invalid baseline is ignored, since the request can be handled without it. */
export function parseBaseline (text: string | undefined): Decisions.Events.Baseline | undefined {
  const fields = text?.split(' ').map(Number) ?? []
  const [meanLogLatency, deviation, errorRate, samples] = fields
  if (fields.length !== BASELINE_FIELDS || !fields.every(Number.isFinite)) return undefined
  if (meanLogLatency === undefined || deviation === undefined || errorRate === undefined || samples === undefined) return undefined
  return { meanLogLatency, deviation, errorRate, samples }
}

export function formatBaseline (baseline: Decisions.Events.Baseline): string {
  return `${baseline.meanLogLatency} ${baseline.deviation} ${baseline.errorRate} ${baseline.samples}`
}

/** Parses a non-negative number of milliseconds, with up to six decimals. */
export function parseMilliseconds (text: string | undefined): Decisions.Clock.Milliseconds | undefined {
  if (text === undefined || !/^\d{1,12}(?:\.\d{1,6})?$/.test(text)) return undefined
  return Decisions.Clock.milliseconds(Number(text))
}

/** Header fields added to a request that is forwarded to another node. */
export function forwardFields (command: Decisions.Commands.Forward, arrival: Decisions.Events.RequestArrived, from: Decisions.Ids.NodeId): string[] {
  const fields = [
    HOP, command.hop, FROM, from, SERVICE, arrival.service, ATTEMPTS, String(command.earlierAttempts),
    DEADLINE, String(Math.max(0, Math.round(command.remaining))), SIGNATURE, arrival.signature
  ]
  if (command.target !== undefined) fields.push(TARGET, command.target)
  if (command.baseline !== undefined) fields.push(BASELINE, formatBaseline(command.baseline))
  return fields
}
