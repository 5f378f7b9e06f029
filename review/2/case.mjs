/**
 * The operator removes a route, while clients go on sending requests on it between others on the same connection. Judged: does
 * a machine pass a request from a kept connection on to a sound target and close that connection without an answer, more than
 * three times (LOST)?
 */
import * as Url from 'node:url'
import { Connection, requestId } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/fleet.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
/** Class stock-check of the site file: safe, sent by clients that do not wait for the answer before; work 88 ms, deadline 1.2 s. */
const WORK_MS = 88
const DEADLINE_MS = 1_200
const STOCK_ROUTE = ['r-stock', HOST, '/stock/', 'safe', 1.2, 0.3, 1, 'orders', 2]
const REMOVED_ROUTE = ['r-offers', HOST, '/offers/', 'safe', 1.2, 0.3, 1, 'orders', 2]
/** Paths of the requests that a client sends one behind the other. */
const PIPELINE = ['/stock/1', '/offers/1', '/stock/2']
const CLIENTS_PER_MACHINE = 2
const CLIENT_PAUSE_MS = 300
const BEFORE_MS = 3_000
/** `config_apply_s` and `contact_window_s`: from then on the change is in force on each machine, and all of them are in touch. */
const APPLIED_MS = 3_000
const AFTER_MS = 15_000
/** The rule allows three. */
const ALLOWED_LOSSES = 3

await runCase({
  recordFile: Url.fileURLToPath(new URL('record.txt', import.meta.url)),
  machines: Array.from({ length: 4 }, () => ({ service: 'orders', workMs: () => WORK_MS * (0.7 + 0.6 * Math.random()) })),
  routes: [STOCK_ROUTE, REMOVED_ROUTE]
}, async fleet => {
  let isDone = false
  const clients = fleet.machines.flatMap(machine => Array.from({ length: CLIENTS_PER_MACHINE }, async () => {
    let connection
    while (!isDone) {
      if (connection === undefined || connection.isClosed) connection = new Connection(machine.outbound)
      const ends = await Promise.all(PIPELINE.map(async path => {
        const id = requestId()
        fleet.record({ kind: 'client sends', request: id, machine: machine.name, path })
        const answer = await connection.send({ method: 'GET', path, host: HOST, deadlineMs: DEADLINE_MS, id })
        const isClosed = answer.status === 0
        fleet.record({ kind: isClosed ? 'client finds its connection closed without an answer' : 'client gets', request: id, status: isClosed ? undefined : answer.status })
        return /^connection: *close/im.test(answer.head) || isClosed
      }))
      if (ends.some(Boolean)) connection.close()
      await sleep(CLIENT_PAUSE_MS)
    }
    connection?.close()
  }))
  await sleep(BEFORE_MS)
  if (HAS_TROUBLE) {
    fleet.options.routes = [STOCK_ROUTE]
    fleet.publish(2)
    fleet.record({ kind: 'operator removes a route', version: 2 })
  }
  await sleep(APPLIED_MS)
  const from = performance.now()
  await sleep(AFTER_MS)
  isDone = true
  await Promise.all(clients)
  return judge(fleet.events, from)
})

function judge (events, from) {
  const passedOn = new Set(events.filter(({ kind }) => kind === 'runs').map(({ request }) => request))
  const lost = events.filter(({ kind, at, request }) => kind === 'client finds its connection closed without an answer' && at >= from && passedOn.has(request))
  const sent = events.filter(({ kind }) => kind === 'client sends').length
  return {
    isBroken: lost.length > ALLOWED_LOSSES,
    summary: `${sent} requests; LOST: ${lost.length} were passed on to a sound target, and their connection was closed without an answer (${ALLOWED_LOSSES} allowed)`
  }
}
