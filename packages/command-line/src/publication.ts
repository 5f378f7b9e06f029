/** Publishes a fleet configuration on the log, once, whatever happens to the replies. */
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as LogServices from './log-service.js'

const APPEND_TRIES = 3

export interface Order {
  readonly text: string
  readonly file: string
  readonly logService: string
  /** Version that the operator changed; absent: the newest on the log. */
  readonly base?: number
}

export type PublicationFailure =
  | { readonly kind: 'configuration-invalid', readonly failures: readonly Configuration.Failures.Failure[] }
  | { readonly kind: 'publication-conflict', readonly version: number, readonly publication: string, readonly changes: readonly Configuration.Differences.Change[] }
  | LogServices.LogFailure

export interface Published {
  readonly version: number
  readonly publication: string
  /** False: this text already was the version. */
  readonly appended: boolean
}

type Outcome = neverthrow.Result<Published, PublicationFailure>

/** Checks the text, appends it unless it is there already, and reads back what became of it. */
export async function publish (order: Order): Promise<Outcome> {
  const fleet = Configuration.FleetConfigurations.parseFleetConfiguration(order.text, order.file)
  if (fleet.isErr()) return neverthrow.err({ kind: 'configuration-invalid', failures: fleet.error })
  const before = await LogServices.readAll(order.logService)
  if (before.isErr()) return neverthrow.err(before.error)
  const head = newest(before.value)
  if (order.base === undefined && head.text === order.text) {
    return neverthrow.ok({ version: head.version, publication: head.publication, appended: false })
  }
  const base = Decisions.Ids.version(order.base ?? head.version)
  // The id depends on base and text alone, so that a repeated command finds its own record.
  const publication = Decisions.Rendezvous.digest(`${base} ${order.text}`)
  return await appendAndJudge(order, { base, publication }, before.value)
}

async function appendAndJudge (order: Order, mine: Decisions.PublicationOutcomes.ProposalKey, bodies: readonly string[]): Promise<Outcome> {
  const body = Decisions.ConfigurationRecords.encode({ ...mine, text: order.text })
  let known = bodies
  for (let tries = 0; tries <= APPEND_TRIES; tries += 1) {
    const verdict = Decisions.PublicationOutcomes.determine(known, mine, Configuration.FleetConfigurations.parseConfiguration)
    if (verdict.kind !== 'absent') return conclude(order, verdict, mine, tries > 0)
    const appended = await LogServices.append(order.logService, mine.publication, body)
    const after = await LogServices.readAll(order.logService)
    if (after.isErr()) return neverthrow.err({ ...after.error, mayBeWritten: appended.isOk() || appended.error.mayBeWritten })
    known = after.value
  }
  return neverthrow.err({ kind: 'log-unavailable', mayBeWritten: true, detail: `${APPEND_TRIES} appends did not show up on the log` })
}

function conclude (order: Order, verdict: Exclude<Decisions.PublicationOutcomes.PublicationOutcome, { readonly kind: 'absent' }>, mine: Decisions.PublicationOutcomes.ProposalKey, appended: boolean): Outcome {
  switch (verdict.kind) {
    case 'accepted': return neverthrow.ok({ version: verdict.version, publication: mine.publication, appended })
    case 'invalid': return neverthrow.err({ kind: 'configuration-invalid', failures: [] })
    case 'lost': {
      const changes = changesBetween(verdict.text, order.text)
      return neverthrow.err({ kind: 'publication-conflict', version: verdict.version, publication: verdict.publication, changes })
    }
  }
}

function changesBetween (theirs: string, mine: string): readonly Configuration.Differences.Change[] {
  const left = Configuration.FleetConfigurations.parseFleetConfiguration(theirs, 'theirs')
  const right = Configuration.FleetConfigurations.parseFleetConfiguration(mine, 'mine')
  return left.isOk() && right.isOk() ? Configuration.Differences.differencesBetween(right.value, left.value) : []
}

interface Head { readonly version: Decisions.Ids.Version, readonly publication: string, readonly text: string }

/** The newest version that the retained records prove. */
function newest (bodies: readonly string[]): Head {
  const version = Decisions.Ids.version(0)
  let head: Head = { version, publication: '', text: '' }
  for (const body of bodies) {
    const record = Decisions.ConfigurationRecords.decode(body)
    if (record.isErr()) continue
    const { publication, text } = record.value
    const next = 'snapshot' in record.value ? record.value.snapshot : Decisions.Ids.version(record.value.base + 1)
    const valid = Configuration.FleetConfigurations.parseFleetConfiguration(text, 'log').isOk()
    const follows = 'snapshot' in record.value ? next > head.version : record.value.base === head.version
    if (valid && follows) head = { version: next, publication, text }
  }
  return head
}
