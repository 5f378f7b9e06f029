/** Host records by host, as the directory exchanges them with other nodes. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Buckets from './buckets.js'
import * as HostRecords from './host-record.js'
import type * as Messages from './message.js'
import * as Synchronizations from './synchronization.js'
import type * as Targets from './targets.js'

/** A host has 15 targets of about 70 bytes on average. */
const ENTRIES_LIMIT = 100

export class HostTable extends Synchronizations.Replica {
  readonly table = 'targets'
  readonly entriesLimit = ENTRIES_LIMIT
  readonly records = new Map<Ids.NodeId, HostRecords.HostRecord>()

  constructor (private readonly learn: (update: Messages.TargetsUpdate, turn: Controllers.Turn) => void) {
    super()
  }

  version (key: Ids.NodeId): Buckets.Version | undefined {
    const record = this.records.get(key)
    return record && [record.incarnation, record.watermark, 0]
  }

  entry (key: Ids.NodeId, turn: Controllers.Turn): Messages.TargetsUpdate | undefined {
    const record = this.records.get(key)
    if (record === undefined) return undefined
    const present = [...record.sequences].flatMap(([target, sequence]) => {
      const known = turn.board.targets.get(target)
      return known?.host === key ? [changeFor(known, sequence, turn)] : []
    })
    const targets = [...present, ...record.removals.values()]
    return { kind: 'targets', host: key, incarnation: record.incarnation, complete: record.watermark, targets }
  }

  merge (entry: Messages.Update, turn: Controllers.Turn): void {
    if (entry.kind === 'targets') this.learn(entry, turn)
  }
}

function changeFor (target: Targets.Target, sequence: number, turn: Controllers.Turn): Messages.TargetChange {
  const age = Math.max(0, turn.now - target.announcedAt)
  return [sequence, target.target, target.service, target.slots, target.incarnation, target.state, age]
}
