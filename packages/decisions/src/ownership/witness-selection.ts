/** Selects the witnesses of a roster version. */
import type * as Ids from '../core/ids.js'
import type * as Members from '../membership/members.js'
import type * as RosterRecords from './roster-record.js'
import * as Rendezvous from '../core/rendezvous.js'

/** Six witnesses in the region and one in another: if one of two data centers is lost, four of the seven remain. */
const LOCAL_WITNESSES_MAXIMUM = 6
/** Number of witnesses if there are enough nodes. */
export const WITNESS_COUNT = 7

function toWitness (member: Members.Member): RosterRecords.Witness {
  return { node: member.node, incarnation: member.incarnation, dataCenter: member.dataCenter, region: member.region }
}

/** Candidates by data center: the previous witnesses first, then the others, each in the order of their rendezvous weights. */
function rankByDataCenter (region: Ids.Region, members: readonly Members.Member[], previousWitnesses: ReadonlySet<string>): Members.Member[][] {
  const groups = new Map<Ids.DataCenter, Map<Ids.NodeId, Members.Member>>()
  for (const member of members) {
    const group = groups.get(member.dataCenter) ?? new Map<Ids.NodeId, Members.Member>()
    groups.set(member.dataCenter, group.set(member.node, member))
  }
  return [...groups].sort(([left], [right]) => left < right ? -1 : 1).map(([, group]) => {
    const order = Rendezvous.rank(`witness ${region}`, [...group.keys()]).flatMap(node => group.get(node) ?? [])
    const isPrevious = (member: Members.Member): boolean => previousWitnesses.has(`${member.node} ${member.incarnation}`)
    return [...order.filter(isPrevious), ...order.filter(member => !isPrevious(member))]
  })
}

/**
 * Selects up to six members of the region, in turn from each of its data centers. If their number is even, it is made odd
 * by a member of another region, or by dropping the last one if there is no such member. Previous witnesses that are usable come first.
 */
export function select (region: Ids.Region, usable: readonly Members.Member[], previous: readonly RosterRecords.Witness[]): RosterRecords.Witness[] {
  const previousWitnesses = new Set(previous.map(witness => `${witness.node} ${witness.incarnation}`))
  const groups = rankByDataCenter(region, usable.filter(member => member.region === region), previousWitnesses)
  const remote = rankByDataCenter(region, usable.filter(member => member.region !== region), previousWitnesses).flat()
  const selected: Members.Member[] = []
  for (let round = 0; round < LOCAL_WITNESSES_MAXIMUM; round += 1) {
    for (const group of groups) {
      const member = group[round]
      if (member !== undefined && selected.length < LOCAL_WITNESSES_MAXIMUM) selected.push(member)
    }
  }
  if (selected.length % 2 === 0) {
    const remoteWitness = remote.find(member => previousWitnesses.has(`${member.node} ${member.incarnation}`)) ?? remote[0]
    if (remoteWitness === undefined) selected.pop()
    else selected.push(remoteWitness)
  }
  return selected.map(toWitness)
}
