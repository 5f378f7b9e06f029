import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as Decisions from '@jasminedale/decisions'
import * as Random from '../../src/core/random.js'
import * as Fleets from '../fleet.js'

const SEEDS = (process.env.SEEDS ?? '1 2 3').split(' ').map(Number)
const DISORDER_DURATION = 120_000
const ACTION_PERIOD = 1_500

/** Records faults: a version that stands for different publications on different nodes, or that decreases on a node. */
class Observer {
  private readonly publications = new Map<number, string>()
  private readonly engines = new Map<Decisions.Engines.Engine, number>()
  readonly faults: string[] = []

  observe (fleet: Fleets.Fleet): false {
    for (const { name, engine } of fleet.running()) {
      const { version, publication } = engine.board.configuration.current
      const first = this.publications.get(version) ?? publication
      this.publications.set(version, first)
      if (first !== publication) this.faults.push(`version ${version} is ${first} and on ${name} ${publication}`)
      if (version < (this.engines.get(engine) ?? 0)) this.faults.push(`version ${version} after a higher one on ${name}`)
      this.engines.set(engine, version)
    }
    return false
  }
}

function disturb (fleet: Fleets.Fleet, random: Random.Random, step: number): void {
  const nodes = [...fleet.nodes.values()]
  const pick = (): Fleets.Node => nodes[random.below(nodes.length)] as Fleets.Node
  const [one, other] = [pick(), pick()]
  const region = (node: Fleets.Node): boolean => node.dataCenter < 'c'
  const highest = Math.max(...fleet.versions())
  switch (random.below(14)) {
    case 0: if (fleet.running().length > 16) fleet.stop(one); break
    case 1: for (const node of nodes) if (!node.up) fleet.restart(node); break
    case 2: fleet.isBlocked = (from, to) => from === one && (to === other || random.below(2) === 0); break
    case 3: fleet.isBlocked = (from, to) => region(from) !== region(to); break
    case 4: fleet.isBlocked = () => false; break
    case 5: fleet.log.down = random.below(3) === 0; break
    case 6: one.announcedTargets.set(`${one.name}-${step}`, 's'); break
    case 7: for (const target of [...one.announcedTargets.keys()].slice(0, 1)) one.announcedTargets.delete(target); break
    default: if (!fleet.log.down) for (const name of ['p', 'q']) fleet.append({ base: highest, publication: `${name}${step}`, text: `${name} ${step}` })
  }
}

// Guards against combinations of faults (crashes, cuts, message loss, log outages) after which nodes disagree on members,
// targets or the configuration, or on the publication that a version stands for.
for (const seed of SEEDS) {
  test(`views agree after disorder with seed ${seed}`, () => {
    const fleet = new Fleets.Fleet({ dataCenters: { a: 6, b: 6, c: 6, d: 6 }, regionOf: name => name < 'c' ? 'r1' : 'r2', seed, loss: 0.05 })
    const random = new Random.Random(seed)
    const observer = new Observer()
    fleet.log.retention = 40_000
    fleet.run(10_000)
    for (let step = 0; step < DISORDER_DURATION / ACTION_PERIOD; step += 1) {
      disturb(fleet, random, step)
      fleet.run(ACTION_PERIOD, () => observer.observe(fleet))
    }
    fleet.isBlocked = () => false
    fleet.loss = 0
    fleet.log.down = false
    for (const node of fleet.nodes.values()) if (!node.up) fleet.restart(node)
    fleet.run(60_000, () => observer.observe(fleet))
    assert.deepEqual(observer.faults, [])
    assert.ok(fleet.converged())
    fleet.sent.clear()
    fleet.run(30_000)
    assert.ok(!fleet.sent.has('sync-buckets'), 'tables still differ')
    assert.equal(new Set(fleet.versions()).size, 1)
    const expected = fleet.running().flatMap(node => [...node.announcedTargets.keys()]).sort()
    for (const { engine: { board } } of fleet.running()) {
      assert.deepEqual(board.targets.selectable(Decisions.Ids.service('s'), board.members).map(found => found.target as string).sort(), expected)
    }
  })
}
