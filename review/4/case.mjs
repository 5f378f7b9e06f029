/**
 * Some answers of a target have no length and end with its connection, while clients send further safe requests behind the
 * first. Judged: does a machine pass a request from a kept connection on to a sound target and close that connection without
 * an answer, more than three times (LOST)?
 */
import * as Url from 'node:url'
import { Connection, requestId } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/fleet.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const HOST = 'ficu95.example'
/** `garble`, how = unframed, x = 0.05, for_s = 5: the dose of the site file; on one of the two services' four targets, share 0.25. */
const UNFRAMED_SHARE = 0.05
const TROUBLE_MS = 5_000
const PAUSE_MS = 1_500
const ROUNDS = 6
const WORK_MS = 88
const DEADLINE_MS = 1_200
/** Requests that a client sends at once on its connection: `safe` ones, as the pages say. */
const PIPELINE = 3
const CLIENTS_PER_MACHINE = 2
const CLIENT_PAUSE_MS = 100
/** The rule allows three. */
const ALLOWED_LOSSES = 3

let isTroubled = false
const unframed = () => isTroubled && Math.random() < UNFRAMED_SHARE
const workMs = () => WORK_MS * (0.7 + 0.6 * Math.random())

await runCase({
  recordFile: Url.fileURLToPath(new URL('record.txt', import.meta.url)),
  machines: [
    { service: 'orders', workMs, unframed },
    { service: 'orders', workMs },
    { service: 'orders', workMs },
    { service: 'catalog', workMs }
  ],
  routes: [['r-stock', HOST, '/stock/', 'safe', 1.2, 0.3, 1, 'orders', 2]]
}, async fleet => {
  let isDone = false
  const clients = fleet.machines.flatMap(machine => Array.from({ length: CLIENTS_PER_MACHINE }, async () => {
    let connection
    while (!isDone) {
      if (connection === undefined || connection.isClosed) connection = new Connection(machine.outbound)
      const answers = Array.from({ length: PIPELINE }, async (_, index) => {
        const id = requestId()
        fleet.record({ kind: 'client sends', request: id, machine: machine.name, place: index + 1 })
        const answer = await connection.send({ method: 'GET', path: `/stock/${index}`, host: HOST, deadlineMs: DEADLINE_MS, id })
        const wasClosed = answer.status === 0
        fleet.record({ kind: wasClosed ? 'client finds its connection closed without an answer' : 'client gets', request: id, status: wasClosed ? undefined : answer.status, length: wasClosed || answer.hasLength ? undefined : 'none' })
        return /^connection: *close/im.test(answer.head) || wasClosed
      })
      const ends = await Promise.all(answers)
      if (ends.some(Boolean)) connection.close()
      await sleep(CLIENT_PAUSE_MS)
    }
    connection?.close()
  }))
  for (let round = 0; round < ROUNDS; round += 1) {
    await sleep(PAUSE_MS)
    isTroubled = HAS_TROUBLE
    await sleep(TROUBLE_MS)
    isTroubled = false
  }
  isDone = true
  await Promise.all(clients)
  return judge(fleet.events, fleet.machines[0].target.options.id)
})

/** A request counts if it was passed on to a sound target, not to the one that answers without a length. */
function judge (events, unsoundTarget) {
  const passedOn = new Set(events.filter(({ kind, target }) => kind === 'runs' && target !== unsoundTarget).map(({ request }) => request))
  const closed = events.filter(({ kind }) => kind === 'client finds its connection closed without an answer').map(({ request }) => request)
  const lost = closed.filter(request => passedOn.has(request))
  const sent = events.filter(({ kind }) => kind === 'client sends').length
  return {
    isBroken: lost.length > ALLOWED_LOSSES,
    summary: `${sent} requests; LOST: ${lost.length} were run by a sound target, and their connection was closed without an answer (${ALLOWED_LOSSES} allowed; ${closed.length} closed in all)`
  }
}
