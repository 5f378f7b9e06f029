/** Carries out `at` statements. */
import * as Decisions from '@jasminedale/decisions'
import type * as FakeNodes from './fake-node.js'
import type * as Fleets from './fleet.js'
import * as Scripts from './script.js'

/** A name in a scenario that stands for nothing. */
export interface UnknownName { readonly kind: 'unknown-name', readonly name: string }

/** Schedules every action of the fleet's script. */
export function schedule (fleet: Fleets.Fleet): readonly UnknownName[] {
  const unknown: UnknownName[] = []
  for (const { time, action } of Scripts.select(fleet.script, 'at')) {
    unknown.push(...missing(fleet, action))
    fleet.timeline.at(time, () => { perform(fleet, action) })
  }
  return unknown
}

function missing (fleet: Fleets.Fleet, action: Scripts.Action): UnknownName[] {
  const absent = (found: boolean, name: string): UnknownName[] => (found ? [] : [{ kind: 'unknown-name', name }])
  switch (action.kind) {
    case 'server': return absent(fleet.servers.has(action.server), action.server)
    case 'node': return absent(fleet.nodes.has(action.node), action.node)
    case 'cut': return [...absent(stands(fleet, action.from), action.from), ...absent(stands(fleet, action.to), action.to)]
    case 'data-center': return absent(stands(fleet, action.name), action.name)
    default: return []
  }
}

function stands (fleet: Fleets.Fleet, name: string): boolean {
  return [...fleet.nodes.values()].some(({ place }) => [place.node, place.dataCenter, place.region].includes(name))
}

function perform (fleet: Fleets.Fleet, action: Scripts.Action): void {
  switch (action.kind) {
    case 'server': fleet.servers.get(action.server)?.inject(action.fault); break
    case 'service': injectAll(fleet, action); break
    case 'node': actOn(fleet.nodes.get(action.node), action.deed); break
    case 'data-center': {
      for (const node of fleet.nodes.values()) {
        if (node.place.dataCenter === action.name) actOn(node, action.deed)
      }
      break
    }
    case 'cut': fleet.network.cut(action.from, action.to, action.both); break
    case 'loss': fleet.network.lose(action.fraction); break
    case 'heal': fleet.network.heal(); break
    case 'log': fleet.fakeLog.state = action.state; break
    case 'publish': publish(fleet, action); break
  }
}

function injectAll (fleet: Fleets.Fleet, action: Extract<Scripts.Action, { readonly kind: 'service' }>): void {
  for (const server of fleet.servers.values()) {
    if (server.service === action.service) server.inject(action.fault)
  }
}

function actOn (node: FakeNodes.FakeNode | undefined, deed: Scripts.NodeDeed): void {
  switch (deed) {
    case 'kill': node?.kill(); break
    case 'pause': node?.pause(); break
    case 'resume': node?.resume(); break
    case 'restart': node?.restart(); break
    case 'drain': node?.drain(); break
  }
}

function publish (fleet: Fleets.Fleet, action: Extract<Scripts.Action, { readonly kind: 'publish' }>): void {
  const text = `[defaults]\n${action.key} = ${action.value}\n`
  const body = JSON.stringify({ base: Decisions.Ids.version(action.base), publication: action.name, text })
  fleet.fakeLog.append('configuration', action.name, body, () => { /* the scenario checks the effect */ })
}
