/**
 * `npm run demo`: four nodes in two data centers of two regions, with backend servers and a log service, as processes.
 * Publishes a configuration, sends reads and orders, slows one backend server and shows how the fleet ejects it.
 */
import * as Process from 'node:process'
import * as Fleets from './demo-fleet.js'
import * as Load from './demo-load.js'

const READS_DURATION_MS = 3_000
const EJECTION_TIMEOUT_MS = 10_000
const ORDER_COUNT = 20
const SLOW_FACTOR = 20

function print (text: string): void {
  Process.stdout.write(`${text}\n`)
}

/** Slows one backend server under load and returns the explanation of its state by the node on its VM. */
async function slowOneServer (fleet: Fleets.DemoFleet, load: Load.DemoLoad): Promise<Fleets.Explanation> {
  const slow = fleet.slowTarget()
  await fleet.inject(slow, { slowFactor: SLOW_FACTOR })
  print(`slowed ${slow.target} by a factor of ${SLOW_FACTOR}`)
  const startedAt = performance.now()
  const explained = await load.readsUntil(async () => await fleet.explainIfEjected(slow), EJECTION_TIMEOUT_MS)
  if (explained === undefined) {
    print(`${slow.target} was not ejected within ${EJECTION_TIMEOUT_MS} ms`)
    return await fleet.explain(slow)
  }
  print(`${slow.target} ejected after ${Math.round(performance.now() - startedAt)} ms`)
  return explained
}

/** Returns whether all answers were correct, no order ran twice and the slow server was ejected. */
async function runDemo (fleet: Fleets.DemoFleet): Promise<boolean> {
  await fleet.start()
  print(`started ${fleet.nodes.length} nodes: ${fleet.nodes.map(node => `${node.name} in ${node.dataCenter} (${node.region})`).join(', ')}`)
  print(`publish: ${await fleet.publish()}`)
  const load = new Load.DemoLoad(fleet.addresses())
  await load.readsFor(READS_DURATION_MS)
  const orders = await load.orders(ORDER_COUNT)
  const executions = await fleet.executionsByKey()
  const repeated = [...executions.values()].filter(count => count > 1).length
  const explained = await slowOneServer(fleet, load)
  print(Fleets.describe(explained))
  const wrong = load.wrongAnswers()
  print(`reads: ${JSON.stringify(Object.fromEntries(load.caller.counts))}`)
  print(`orders: ${orders.completed} of ${orders.sent} completed, ${orders.refused} refused${orders.reasons.length === 0 ? '' : ` (${orders.reasons.join(', ')})`}, each sent again with the same key: ${orders.replayed} answered with the stored response, ${repeated} ran twice`)
  await load.close()
  return wrong === 0 && repeated === 0 && explained.standing.kind === 'ejected'
}

const fleet = new Fleets.DemoFleet()
let passed = false
try {
  passed = await runDemo(fleet)
} catch (error) {
  print(`demo failed: ${error instanceof Error ? error.message : String(error)}`)
} finally {
  const killed = await fleet.stop()
  print(`stopped all processes, ${killed} of them by force`)
}
print(passed ? 'result: every answer was complete and matched its request, no order ran twice, the slow server was ejected' : 'result: FAILED')
Process.exit(passed ? 0 : 1)
