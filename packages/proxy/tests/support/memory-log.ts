/** The shared log of a test, in memory, with the faults that a test enables. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as SharedLogs from '../../src/state/shared-log.js'

/** Time between two looks of a waiting read at the log. */
const STEP_MS = 20
/** Time after its wait at which a call without an answer fails, as in the client of the platform's store. */
const RESPONSE_TIMEOUT_MS = 1_500

type Records = Record<SharedLogs.Topic, SharedLogs.KeyedRecord[]>

export class MemoryLog {
  /** Calls that begin or end while the log is silent get no answer, also after it answers others again. */
  isSilent = false
  /** Nodes whose calls get no answer. */
  readonly unreachable = new Set<Decisions.Ids.Endpoint>()
  readonly stored: Records = { configuration: [], targets: [] }
  private currentEpoch = SharedLogs.epoch(0)

  get epoch (): SharedLogs.Epoch {
    return this.currentEpoch
  }

  /** Loses the last `lost` records of each topic. Their offsets are assigned again. */
  restore (lost: Readonly<Record<SharedLogs.Topic, number>>): void {
    this.currentEpoch = SharedLogs.epoch(this.currentEpoch + 1)
    for (const topic of ['configuration', 'targets'] as const) this.stored[topic].splice(Math.max(0, this.stored[topic].length - lost[topic]))
  }

  /** The log as a node reads and writes it. */
  clientOf (host: Decisions.Ids.Endpoint): SharedLogs.SharedLog {
    return new MemoryLogClient(this, host)
  }
}

class MemoryLogClient extends SharedLogs.SharedLog {
  constructor (private readonly log: MemoryLog, private readonly host: Decisions.Ids.Endpoint) {
    super()
  }

  override async readNewest (topic: SharedLogs.Topic): SharedLogs.LogResult<SharedLogs.Batch> {
    return await this.readFrom(topic, { epoch: this.log.epoch, offset: 0 }, Decisions.Clock.milliseconds(0))
  }

  override async readFrom (topic: SharedLogs.Topic, position: SharedLogs.Position, wait: Decisions.Clock.Milliseconds): SharedLogs.LogResult<SharedLogs.Batch> {
    const { log } = this
    const records = log.stored[topic]
    let waited = 0
    for (; waited < wait && records.length === position.offset && position.epoch === log.epoch && !this.isCut(); waited += STEP_MS) await sleep(STEP_MS)
    if (this.isCut()) {
      await sleep(wait - waited + RESPONSE_TIMEOUT_MS)
      return neverthrow.err({ kind: 'no-answer', detail: 'silent' })
    }
    if (position.epoch !== log.epoch) return neverthrow.err({ kind: 'restored', epoch: log.epoch })
    if (position.offset > records.length) return neverthrow.err({ kind: 'truncated' })
    return neverthrow.ok({ records: records.slice(position.offset), next: { epoch: log.epoch, offset: records.length } })
  }

  override async put (topic: SharedLogs.Topic, record: SharedLogs.KeyedRecord): SharedLogs.LogResult<undefined> {
    if (this.isCut()) {
      await sleep(RESPONSE_TIMEOUT_MS)
      return neverthrow.err({ kind: 'no-answer', detail: 'silent' })
    }
    this.log.stored[topic].push(record)
    return neverthrow.ok(undefined)
  }

  override close (): void { /* Nothing is open. */ }

  private isCut (): boolean {
    return this.log.isSilent || this.log.unreachable.has(this.host)
  }
}

async function sleep (duration: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}
