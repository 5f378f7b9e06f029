/**
 * Machines are stopped with SIGTERM and started in turn, in a deployment with one machine a zone, whose clients go on sending
 * to a node that is not ready. Judged: LOST around planned work.
 */
import * as Url from 'node:url'
import { call, requestId } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/fleet.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
const ZONES = ['buc-a', 'buc-b', 'buc-c', 'cluj-a', 'cluj-b', 'cluj-c']
/** Requests of this class take up to 6.1 s in the site file; deadline 10 s, latency objective 2.5 s. */
const WORK_MS = [2_400, 2_900]
const DEADLINE_MS = 10_000
const ROUTE = ['r-grade', HOST, '/grade/', 'safe', 10, 2.5, 2, 'catalog', 1]
const REQUESTS_PER_SECOND = 3
const STOPS = 11
const GAP_MS = 1_300
/** `grace_period_s` of the site file, and the time after SIGTERM up to which RULES.md excuses a request whose target is still at work in the last sixth of it. */
const GRACE_MS = 6_000
const EXCUSED_UNTIL_MS = 3_000

await runCase({
  recordFile: Url.fileURLToPath(new URL('record.txt', import.meta.url)),
  machines: ZONES.map(zone => ({ service: 'catalog', zone, slots: 5, workMs: () => WORK_MS[0] + Math.random() * (WORK_MS[1] - WORK_MS[0]) })),
  routes: [ROUTE]
}, async fleet => {
  const stops = []
  const requests = []
  const calls = new Set()
  // The clients of the first two zones.
  const machines = fleet.machines.slice(0, 2)
  const timers = machines.map(machine => setInterval(() => {
    const request = { id: requestId(), machine, sentAt: performance.now() }
    requests.push(request)
    fleet.record({ kind: 'client sends', request: request.id, machine: machine.name })
    const sent = call(machine.outbound, { method: 'GET', path: '/grade/1', host: HOST, deadlineMs: DEADLINE_MS, id: request.id }).then(({ status }) => {
      Object.assign(request, { status, endedAt: performance.now() })
      fleet.record({ kind: status === 0 ? 'client finds its connection closed without an answer' : 'client gets', request: request.id, status: status === 0 ? undefined : status })
      calls.delete(sent)
    })
    calls.add(sent)
  }, 1_000 / REQUESTS_PER_SECOND))
  await sleep(1_000)
  for (let count = 0; count < STOPS; count += 1) {
    if (!HAS_TROUBLE) {
      await sleep(GRACE_MS + GAP_MS)
      continue
    }
    const machine = machines[count % machines.length]
    const stop = { machine, at: performance.now() }
    stops.push(stop)
    fleet.record({ kind: 'SIGTERM', machine: machine.name })
    const ended = new Promise(resolve => { machine.process.once('exit', resolve) })
    machine.process.kill('SIGTERM')
    await ended
    stop.endedAt = performance.now()
    fleet.record({ kind: 'stopped', machine: machine.name, after: ((stop.endedAt - stop.at) / 1000).toFixed(2) })
    fleet.startProcess(machine)
    await fleet.waitFor('node ready again', async () => (await fleet.status(machine))?.isReady === true)
    await sleep(GAP_MS)
  }
  for (const timer of timers) clearInterval(timer)
  await Promise.all(calls)
  return judge(fleet, requests, stops)
})

/** Requests that were passed on and cut, other than those that the rule does not count. */
function judge (fleet, requests, stops) {
  const runs = new Map(fleet.events.filter(({ kind }) => kind === 'runs').map(event => [event.request, event.at]))
  const cut = requests.filter(({ id, status }) => status === 0 && runs.has(id))
  const lost = cut.filter(({ machine, sentAt, endedAt }) => {
    const stop = stops.find(({ at, ...other }) => other.machine === machine && sentAt <= at + GRACE_MS + 1_000 && endedAt >= at && sentAt >= at - DEADLINE_MS)
    if (stop === undefined || endedAt - sentAt >= DEADLINE_MS) return false
    const isExcused = sentAt <= stop.at + EXCUSED_UNTIL_MS && endedAt >= stop.at + GRACE_MS * 5 / 6
    if (!isExcused) fleet.record({ kind: 'lost', machine: machine.name, sent: `${((sentAt - stop.at) / 1000).toFixed(2)}s after SIGTERM`, cut: `${((endedAt - stop.at) / 1000).toFixed(2)}s after SIGTERM` })
    return !isExcused
  })
  return {
    isBroken: lost.length > 0,
    summary: `${requests.length} requests, ${stops.length} planned stops; LOST: ${lost.length} passed on and cut off without an answer (${cut.length} cut in all, the others excused)`
  }
}
