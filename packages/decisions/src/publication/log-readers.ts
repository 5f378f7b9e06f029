/** Selects the nodes that read the log: in each data center, the usable members ranked first by rendezvous hashing. */
import type * as Blackboards from '../core/blackboard.js'
import type * as Ids from '../core/ids.js'
import * as Rendezvous from '../core/rendezvous.js'

const READERS_PER_DATA_CENTER = 3
const RENDEZVOUS_KEY = 'configuration-reader'

export interface Selection {
  readonly readers: readonly Ids.NodeId[]
  /** Rank of this node among the readers of all data centers; undefined when it is not a reader. */
  readonly position: number | undefined
}

export class LogReaders {
  private generation = -1
  private selection: Selection = { readers: [], position: undefined }

  /** The current selection, cached until the members change. */
  select (board: Blackboards.Blackboard): Selection {
    const { members, identity } = board
    if (members.generation === this.generation) return this.selection
    this.generation = members.generation
    const usable = members.usable()
    const local = usable.filter(member => member.dataCenter === identity.dataCenter).map(member => member.node)
    const readers = Rendezvous.rank(RENDEZVOUS_KEY, local).slice(0, READERS_PER_DATA_CENTER)
    const dataCenters = Rendezvous.rank(RENDEZVOUS_KEY, [...new Set(usable.map(member => member.dataCenter))])
    const rank = readers.indexOf(identity.node)
    const position = rank < 0 ? undefined : dataCenters.indexOf(identity.dataCenter) + rank * dataCenters.length
    this.selection = { readers, position }
    return this.selection
  }
}
