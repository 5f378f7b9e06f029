/**
 * `npm run demo`: four nodes in two data centers of two regions, with backend servers and a log service, as processes.
 * Publishes a configuration, sends reads and orders, slows one backend server and shows how the fleet takes it out.
 */
import * as Process from 'node:process'
import * as Fleets from './demo-fleet.js'
import * as Load from './demo-load.js'

const READS_MS = 3_000
const EJECTION_MS = 10_000
const ORDERS = 20
const SLOW_FACTOR = 20

function say (text: string): void {
  Process.stdout.write(`${text}\n`)
}

/** Slows one backend server under load and returns what its host says about it. */
async function slowOne (fleet: Fleets.DemoFleet, load: Load.DemoLoad): Promise<Fleets.Explanation> {
  const slow = fleet.slowTarget()
  await fleet.inject(slow, { slowFactor: SLOW_FACTOR })
  say(`slowed ${slow.target} by a factor of ${SLOW_FACTOR}`)
  const startedAt = performance.now()
  const explained = await load.readsUntil(async () => await fleet.explainIfEjected(slow), EJECTION_MS)
  if (explained === undefined) {
    say(`${slow.target} was not ejected within ${EJECTION_MS} ms`)
    return await fleet.explain(slow)
  }
  say(`${slow.target} ejected after ${Math.round(performance.now() - startedAt)} ms`)
  return explained
}

/** Returns whether every promise that the demo shows was kept. */
async function demo (fleet: Fleets.DemoFleet): Promise<boolean> {
  await fleet.start()
  say(`started ${fleet.nodes.length} nodes: ${fleet.nodes.map(node => `${node.name} in ${node.dataCenter} (${node.region})`).join(', ')}`)
  say(`publish: ${await fleet.publish()}`)
  const load = new Load.DemoLoad(fleet.addresses())
  await load.readsFor(READS_MS)
  const orders = await load.orders(ORDERS)
  const executions = await fleet.executionsByKey()
  const repeated = [...executions.values()].filter(count => count > 1).length
  const explained = await slowOne(fleet, load)
  say(Fleets.describe(explained))
  const wrong = load.wrongAnswers()
  say(`reads: ${JSON.stringify(Object.fromEntries(load.caller.counts))}`)
  say(`orders: ${orders.completed} of ${orders.sent} completed, ${orders.refused} refused${orders.reasons.length === 0 ? '' : ` (${orders.reasons.join(', ')})`}, each sent again with the same key: ${orders.replayed} answered from the ledger, ${repeated} ran twice`)
  await load.close()
  return wrong === 0 && repeated === 0
}

const fleet = new Fleets.DemoFleet()
let kept = false
try {
  kept = await demo(fleet)
} catch (error) {
  say(`demo failed: ${error instanceof Error ? error.message : String(error)}`)
} finally {
  const killed = await fleet.stop()
  say(`stopped all processes, ${killed} of them by force`)
}
say(kept ? 'result: every answer was whole and its own, no order ran twice' : 'result: FAILED')
Process.exit(kept ? 0 : 1)
