/** Records of log stream `configuration`, each with a JSON body. */
import * as Neverthrow from 'neverthrow'
import * as zod from 'zod'
import * as Ids from '../core/ids.js'

const count = zod.int().nonnegative().transform(Ids.version)

const proposal = zod.object({ base: count, publication: zod.string().min(1).max(200), text: zod.string() })
const snapshot = zod.object({ snapshot: count, publication: zod.string().min(1).max(200), text: zod.string() })
const record = zod.union([proposal, snapshot])

/** Becomes version `base` + 1 if it is the first valid proposal with this base. */
export type Proposal = zod.infer<typeof proposal>
/** Copy of an accepted version, appended so that retention does not remove the version from the log. */
export type Snapshot = zod.infer<typeof snapshot>
export type Record = zod.infer<typeof record>

export interface RecordFailure { readonly kind: 'record-invalid', readonly detail: string }

/** Parses the body of a log record. */
export function decode (body: string): Neverthrow.Result<Record, RecordFailure> {
  const json = Neverthrow.Result.fromThrowable((): unknown => JSON.parse(body))()
  if (json.isErr()) return Neverthrow.err({ kind: 'record-invalid', detail: 'The record is not JSON.' })
  const parsed = record.safeParse(json.value)
  return parsed.success
    ? Neverthrow.ok(parsed.data)
    : Neverthrow.err({ kind: 'record-invalid', detail: zod.prettifyError(parsed.error) })
}

/** Serializes a record as the body of a log record. */
export function encode (value: Record): string {
  return JSON.stringify(value)
}
