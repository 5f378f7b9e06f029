/** Which nodes read the log: in each data center the first usable members by rendezvous hashing. */
import type * as Blackboards from '../core/blackboard.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'

const READERS = 3
const KEY = 'configuration-reader'

export interface Selection {
  readonly readers: readonly Ids.NodeId[]
  /** Place of this node among the readers of all data centers; undefined when it is none. */
  readonly position: number | undefined
}

export class Readers {
  private generation = -1
  private selection: Selection = { readers: [], position: undefined }

  /** The current choice; computed again when the members changed. */
  select (board: Blackboards.Blackboard): Selection {
    const { members, identity } = board
    if (members.generation === this.generation) return this.selection
    this.generation = members.generation
    const usable = members.usable()
    const local = usable.filter(member => member.dataCenter === identity.dataCenter).map(member => member.node)
    const readers = Rendezvous.rank(KEY, local).slice(0, READERS)
    const dataCenters = Rendezvous.rank(KEY, [...new Set(usable.map(member => member.dataCenter))])
    const rank = readers.indexOf(identity.node)
    const position = rank < 0 ? undefined : dataCenters.indexOf(identity.dataCenter) + rank * dataCenters.length
    this.selection = { readers, position }
    return this.selection
  }
}
