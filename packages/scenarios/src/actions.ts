/** Schedules and performs the actions of `at` statements. */
import * as Decisions from '@jasminedale/decisions'
import type * as FakeNodes from './fake-node.js'
import type * as Fleets from './fleet.js'
import * as Scripts from './script.js'

/** A name in an action that no node, data center, region or server of the scenario has. */
export interface UnknownName { readonly kind: 'unknown-name', readonly name: string }

/** Schedules every action of the fleet's script and returns the names that it does not define. */
export function schedule (fleet: Fleets.Fleet): readonly UnknownName[] {
  const unknown: UnknownName[] = []
  for (const { time, action } of Scripts.select(fleet.script, 'at')) {
    unknown.push(...findUnknownNames(fleet, action))
    fleet.timeline.at(time, () => { perform(fleet, action) })
  }
  return unknown
}

function findUnknownNames (fleet: Fleets.Fleet, action: Scripts.Action): UnknownName[] {
  const unknownUnless = (found: boolean, name: string): UnknownName[] => (found ? [] : [{ kind: 'unknown-name', name }])
  switch (action.kind) {
    case 'server': return unknownUnless(fleet.servers.has(action.server), action.server)
    case 'node': return unknownUnless(fleet.nodes.has(action.node), action.node)
    case 'cut': return [...unknownUnless(hasNodeIn(fleet, action.from), action.from), ...unknownUnless(hasNodeIn(fleet, action.to), action.to)]
    case 'data-center': return unknownUnless(hasNodeIn(fleet, action.name), action.name)
    default: return []
  }
}

function hasNodeIn (fleet: Fleets.Fleet, name: string): boolean {
  return [...fleet.nodes.values()].some(({ place }) => [place.node, place.dataCenter, place.region].includes(name))
}

function perform (fleet: Fleets.Fleet, action: Scripts.Action): void {
  switch (action.kind) {
    case 'server': fleet.servers.get(action.server)?.inject(action.fault); break
    case 'service': injectAll(fleet, action); break
    case 'node': applyToNode(fleet.nodes.get(action.node), action.deed); break
    case 'data-center': {
      for (const node of fleet.nodes.values()) {
        if (node.place.dataCenter === action.name) applyToNode(node, action.deed)
      }
      break
    }
    case 'cut': fleet.network.cut(action.from, action.to, action.both); break
    case 'loss': fleet.network.setLoss(action.fraction); break
    case 'heal': fleet.network.restore(); break
    case 'log': fleet.fakeLog.state = action.state; break
    case 'publish': publish(fleet, action); break
  }
}

function injectAll (fleet: Fleets.Fleet, action: Extract<Scripts.Action, { readonly kind: 'service' }>): void {
  for (const server of fleet.servers.values()) {
    if (server.service === action.service) server.inject(action.fault)
  }
}

function applyToNode (node: FakeNodes.FakeNode | undefined, action: Scripts.NodeAction): void {
  switch (action) {
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
  fleet.fakeLog.append('configuration', action.name, body, () => { /* `expect version` checks the effect */ })
}
