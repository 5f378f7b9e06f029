import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Fleets from '../fleet.js'

/** Budget of a node's control traffic in the planned fleet of 5,200 nodes, in bytes per second. */
const BUDGET = 5_000
/** Milliseconds between restarts and between publications: 11,000 and 17,000 a day in the whole fleet. */
const RESTART_PERIOD = 7_900
const PUBLICATION_PERIOD = 5_100
const DURATION = 60_000
const SIZES = (process.env.NODES ?? '25').split(' ').map(Number)

function perSecond (fleet: Fleets.Fleet): { readonly total: number, readonly kinds: string } {
  const rates = [...fleet.sent].map(([kind, { bytes }]) => ({ kind, rate: bytes / fleet.nodes.size / DURATION * 1_000 }))
  rates.sort((left, right) => right.rate - left.rate)
  const total = rates.reduce((sum, { rate }) => sum + rate, 0)
  return { total, kinds: rates.map(({ kind, rate }) => `${kind} ${Math.round(rate)}`).join(', ') }
}

function churn (fleet: Fleets.Fleet): void {
  const nodes = [...fleet.nodes.values()]
  for (let time = 0, restarts = 0, versions = 0; time < DURATION; time += 100) {
    if (time % PUBLICATION_PERIOD === 0) fleet.append({ base: versions, publication: `p${versions}`, text: `${'x = 1\n'.repeat(1_700)}n = ${++versions}\n` })
    const node = nodes[restarts * 7 % nodes.length] as Fleets.Node
    if (time % RESTART_PERIOD === 0) fleet.step(node, { kind: 'drain-requested' })
    if (time % RESTART_PERIOD === 300) fleet.stop(node)
    if (time % RESTART_PERIOD === 1_000) fleet.restart(nodes[restarts++ * 7 % nodes.length] as Fleets.Node)
    fleet.run(100)
  }
}

// Guards against control traffic above the budget. The rates of restarts and publications are those of 5,200 nodes.
for (const size of SIZES) {
  test(`traffic of ${size} nodes stays within the budget`, context => {
    const dataCenters = Object.fromEntries(['a', 'b', 'c', 'd', 'e'].map(name => [name, size / 5]))
    const fleet = new Fleets.Fleet({ dataCenters, regionOf: name => name < 'c' ? 'r1' : 'r2' })
    for (const node of fleet.running()) for (let index = 0; index < 15; index += 1) node.announcedTargets.set(`${node.name}-${index}`, `service-${index}`)
    fleet.run(60_000)
    for (const phase of ['idle', 'churn']) {
      fleet.sent.clear()
      if (phase === 'idle') fleet.run(DURATION)
      else churn(fleet)
      const { total, kinds } = perSecond(fleet)
      context.diagnostic(`${size} nodes, ${phase}: ${Math.round(total)} B/s per node (${kinds})`)
      assert.ok(total < BUDGET, `${phase}: ${total} B/s`)
    }
  })
}
