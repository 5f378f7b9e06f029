/** Choice of a roster's witnesses. */
import type * as Ids from '../core/ids.js'
import type * as Members from '../membership/members.js'
import type * as Records from './roster-record.js'
import * as Rendezvous from '../core/rendezvous.js'

/** Six in the region and one in another, so that the loss of one of two data centers leaves four. */
const LOCAL_LIMIT = 6
/** Witnesses of a roster when there are nodes enough. */
export const WITNESSES = 7

function witnessOf (member: Members.Member): Records.Witness {
  return { node: member.node, incarnation: member.incarnation, dataCenter: member.dataCenter, region: member.region }
}

/** Candidates by data center, earlier witnesses first, then by rendezvous weight. */
function ranked (region: Ids.Region, members: readonly Members.Member[], kept: ReadonlySet<string>): Members.Member[][] {
  const groups = new Map<Ids.DataCenter, Map<Ids.NodeId, Members.Member>>()
  for (const member of members) {
    const group = groups.get(member.dataCenter) ?? new Map<Ids.NodeId, Members.Member>()
    groups.set(member.dataCenter, group.set(member.node, member))
  }
  return [...groups].sort(([left], [right]) => left < right ? -1 : 1).map(([, group]) => {
    const order = Rendezvous.rank(`witness ${region}`, [...group.keys()]).flatMap(node => group.get(node) ?? [])
    const isKept = (member: Members.Member): boolean => kept.has(`${member.node} ${member.incarnation}`)
    return [...order.filter(isKept), ...order.filter(member => !isKept(member))]
  })
}

/**
 * Takes members of the region in turn from each data center, and one member of another region.
 * Witnesses of the earlier roster that are still usable stay. The number is odd.
 */
export function choose (region: Ids.Region, usable: readonly Members.Member[], earlier: readonly Records.Witness[]): Records.Witness[] {
  const kept = new Set(earlier.map(witness => `${witness.node} ${witness.incarnation}`))
  const groups = ranked(region, usable.filter(member => member.region === region), kept)
  const remote = ranked(region, usable.filter(member => member.region !== region), kept).flat()
  const chosen: Members.Member[] = []
  for (let round = 0; round < LOCAL_LIMIT; round += 1) {
    for (const group of groups) {
      const member = group[round]
      if (member !== undefined && chosen.length < LOCAL_LIMIT) chosen.push(member)
    }
  }
  if (chosen.length % 2 === 0) {
    const other = remote.find(member => kept.has(`${member.node} ${member.incarnation}`)) ?? remote[0]
    if (other === undefined) chosen.pop()
    else chosen.push(other)
  }
  return chosen.map(witnessOf)
}
