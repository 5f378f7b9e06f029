/** Host records by host: the table of targets as it is synchronized between nodes. */
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as BucketDigests from './bucket-digests.js'
import * as HostRecords from './host-record.js'
import type * as Messages from './message.js'
import * as Synchronizations from './synchronization.js'
import type * as Targets from './targets.js'

/** A host has 15 targets of about 70 bytes each on average. */
const ENTRIES_PER_MESSAGE = 100

export class HostTable extends Synchronizations.ReplicatedTable {
  readonly table = 'targets'
  readonly entriesPerMessage = ENTRIES_PER_MESSAGE
  readonly records = new Map<Ids.NodeId, HostRecords.HostRecord>()

  constructor (private readonly applyUpdate: (update: Messages.TargetsUpdate, context: Controllers.StepContext) => void) {
    super()
  }

  version (key: Ids.NodeId): BucketDigests.Version | undefined {
    const record = this.records.get(key)
    return record && [record.incarnation, record.watermark, 0]
  }

  entry (key: Ids.NodeId, context: Controllers.StepContext): Messages.TargetsUpdate | undefined {
    const record = this.records.get(key)
    if (record === undefined) return undefined
    const currentTargets = [...record.sequences].flatMap(([target, sequence]) => {
      const known = context.board.targets.get(target)
      return known?.host === key ? [toChange(known, sequence, context)] : []
    })
    const targets = [...currentTargets, ...record.tombstones.values()]
    return { kind: 'targets', host: key, incarnation: record.incarnation, complete: record.watermark, targets }
  }

  merge (entry: Messages.Update, context: Controllers.StepContext): void {
    if (entry.kind === 'targets') this.applyUpdate(entry, context)
  }
}

function toChange (target: Targets.Target, sequence: number, context: Controllers.StepContext): Messages.TargetChange {
  const age = Math.max(0, context.now - target.announcedAt)
  return [sequence, target.target, target.service, target.slots, target.incarnation, target.state, age]
}
