/** Records on log stream `configuration`. */
import * as Neverthrow from 'neverthrow'
import * as zod from 'zod'
import * as Ids from '../core/ids.js'

const count = zod.int().nonnegative().transform(Ids.version)

const proposal = zod.object({ base: count, publication: zod.string().min(1).max(200), text: zod.string() })
const snapshot = zod.object({ snapshot: count, publication: zod.string().min(1).max(200), text: zod.string() })
const record = zod.union([proposal, snapshot])

/** Becomes version `base` + 1 when it is the first valid one with this base. */
export type Proposal = zod.infer<typeof proposal>
/** Repeats an accepted version, so that retention does not remove it from the log. */
export type Snapshot = zod.infer<typeof snapshot>
export type Record = zod.infer<typeof record>

export interface RecordFailure { readonly kind: 'record-invalid', readonly detail: string }

/** Reads a log record's body. */
export function decode (body: string): Neverthrow.Result<Record, RecordFailure> {
  const json = Neverthrow.Result.fromThrowable((): unknown => JSON.parse(body))()
  if (json.isErr()) return Neverthrow.err({ kind: 'record-invalid', detail: 'The record is not JSON.' })
  const parsed = record.safeParse(json.value)
  return parsed.success
    ? Neverthrow.ok(parsed.data)
    : Neverthrow.err({ kind: 'record-invalid', detail: zod.prettifyError(parsed.error) })
}

/** Body of a record for the log. */
export function encode (value: Record): string {
  return JSON.stringify(value)
}
