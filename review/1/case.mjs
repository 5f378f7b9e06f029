/**
 * A healthy-looking target sheds part of its requests and at times sends a second copy of an answer late. Judged: does a
 * non-idempotent request run twice (TWICE), or run although its client was told 503 (REFUSED)?
 */
import * as Url from 'node:url'
import { call, requestId } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/fleet.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
/** `srv_grey`, how = shed all, x = 0.55, for_s = 8.5 and `garble`, how = extra late, share = 0.6, x = 0.03, for_s = 5: doses of the site file. */
const SHED_SHARE = 0.55
const EXTRA_SHARE = 0.03
const TROUBLE_MS = 5_000
const PAUSE_MS = 1_500
const ROUNDS = 14
const WORK_MS = 20
const DEADLINE_MS = 2_000
const CLIENT_PAUSE_MS = 5
/** Five machines, one target a service; three of the five send second copies (share 0.6). */
const SERVICES = ['orders', 'commissions', 'catalog', 'stock', 'prices']
const UNSOUND_SERVICES = SERVICES.slice(0, 3)
/** Two non-idempotent requests, then a safe one. */
const MIX = ['PUT', 'PUT', 'GET']

let isTroubled = false

const sheds = () => isTroubled && Math.random() < SHED_SHARE
const extra = () => isTroubled && Math.random() < EXTRA_SHARE
const workMs = () => WORK_MS

await runCase({
  recordFile: Url.fileURLToPath(new URL('record.txt', import.meta.url)),
  machines: SERVICES.map(service => UNSOUND_SERVICES.includes(service) ? { service, workMs, sheds, extra } : { service, workMs }),
  routes: SERVICES.flatMap(service => [
    [`r-${service}-put`, HOST, `/${service}/put/`, 'non_idempotent', 1, 0.5, 0, service, 2],
    [`r-${service}-get`, HOST, `/${service}/get/`, 'safe', 1, 0.3, 1, service, 2]
  ])
}, async fleet => {
  let isDone = false
  // One request after the other for each service, from the clients of all machines in turn.
  const clients = SERVICES.map(async service => {
    for (let count = 0; !isDone; count += 1) {
      const machine = fleet.machines[count % fleet.machines.length]
      const method = MIX[count % MIX.length]
      const id = requestId()
      fleet.record({ kind: 'client sends', request: id, method, service, machine: machine.name })
      const answer = await call(machine.outbound, { method, path: `/${service}/${method.toLowerCase()}/1`, host: HOST, body: method === 'PUT' ? 'commission' : '', deadlineMs: DEADLINE_MS, id })
      fleet.record({ kind: 'client gets', request: id, status: answer.status })
      await sleep(CLIENT_PAUSE_MS)
    }
  })
  for (let round = 0; round < ROUNDS; round += 1) {
    await sleep(PAUSE_MS)
    isTroubled = HAS_TROUBLE
    await sleep(TROUBLE_MS)
    isTroubled = false
  }
  isDone = true
  await Promise.all(clients)
  await sleep(500)
  return judge(fleet.events)
})

function judge (events) {
  const runs = new Map()
  for (const { kind, request, method } of events) if (kind === 'runs' && method === 'PUT') runs.set(request, (runs.get(request) ?? 0) + 1)
  const twice = [...runs].filter(([, count]) => count > 1).map(([request]) => request)
  const refused = events.filter(({ kind, status, request }) => kind === 'client gets' && [408, 421, 429, 503].includes(status) && runs.has(request)).map(({ request }) => request)
  const sent = events.filter(({ kind }) => kind === 'client sends').length
  return {
    isBroken: twice.length > 0 || refused.length > 0,
    summary: `${sent} requests; TWICE: ${twice.length} ran more than once${list(twice)}; REFUSED: ${refused.length} were answered as not run and ran${list(refused)}`
  }
}

function list (requests) {
  return requests.length === 0 ? '' : ` (${requests.slice(0, 8).join(' ')})`
}
