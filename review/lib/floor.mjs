/** Load on one service, and the rule FLOOR as RULES.md states it. */
import { call, requestId } from './client.mjs'
import { sleep } from './fleet.mjs'

const HOST = 'ficu95.example'
const DEADLINE_MS = 2_000
/** `minimum_share` of the site file. */
const MINIMUM_SHARE = 0.7
const WINDOW_MS = 2_000
const STEP_MS = 250
/** Twice `contact_window_s`: a target without disruption for that long is sound. */
export const SOUND_AFTER_MS = 6_000

export const ROUTES = [['r-pay', HOST, '/pay/', 'non_idempotent', 1, 0.5, 0, 'orders', 2]]

/** Sends requests at a steady rate from the clients of all machines, until the function that it returns is called. */
export function sendSteadily (fleet, perSecond) {
  const calls = new Set()
  let count = 0
  const timer = setInterval(() => {
    const machine = fleet.machines[count % fleet.machines.length]
    count += 1
    const id = requestId()
    const sentAt = performance.now()
    fleet.record({ kind: 'client sends', request: id, machine: machine.name })
    const sent = call(machine.outbound, { method: 'PUT', path: '/pay/1', host: HOST, body: 'commission', deadlineMs: DEADLINE_MS, id }).then(({ status }) => {
      fleet.record({ kind: 'client gets', request: id, status, sentAt: Math.round(sentAt - fleet.startedAt) })
      calls.delete(sent)
    })
    calls.add(sent)
  }, 1_000 / perSecond)
  return async () => {
    clearInterval(timer)
    await Promise.all(calls)
    await sleep(200)
  }
}

/** Judges the time from `from` to `to`: windows in which too few of the sound targets got requests. */
export function judgeFloor (fleet, targets, from, to) {
  const arrivals = fleet.events.filter(({ kind }) => kind === 'arrives')
  const requests = fleet.events.filter(({ kind }) => kind === 'client gets').map(({ sentAt, status }) => ({ at: fleet.startedAt + sentAt, isServed: status >= 200 && status < 300 }))
  const broken = []
  for (let start = from; start + WINDOW_MS <= to; start += STEP_MS) {
    const within = ({ at }) => at >= start && at < start + WINDOW_MS
    const reached = targets.filter(target => arrivals.some(event => event.target === target && within(event))).length
    const sent = requests.filter(within)
    const unserved = sent.filter(({ isServed }) => !isServed).length / Math.max(1, sent.length)
    if (reached > 0 && reached / targets.length < MINIMUM_SHARE && unserved > 0.1 && unserved < 0.5) broken.push({ start, reached, unserved })
  }
  const worst = broken.reduce((most, { unserved }) => Math.max(most, unserved), 0)
  const windows = Math.max(0, Math.floor((to - from - WINDOW_MS) / STEP_MS) + 1)
  return {
    isBroken: broken.length > 0,
    summary: `FLOOR: in ${broken.length} of ${windows} windows of 2 s fewer than ${MINIMUM_SHARE * targets.length} of ${targets.length} sound targets got requests${broken.length > 0 ? ` (${broken[0].reached}), while up to ${(100 * worst).toFixed(0)} in 100 requests were not served` : ''}`
  }
}
