/** Publishes a fleet configuration on the log, exactly once even if replies of the log service are lost. */
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as LogServices from './log-service.js'

const MAX_APPENDS = 3

export interface PublicationRequest {
  readonly text: string
  readonly file: string
  readonly logService: string
  /** Version on which the text is based; by default the newest on the log. */
  readonly base?: number
}

export type PublicationFailure =
  | { readonly kind: 'configuration-invalid', readonly failures: readonly Configuration.Failures.Failure[] }
  | { readonly kind: 'publication-conflict', readonly version: number, readonly publication: string, readonly changes: readonly Configuration.Differences.Change[] }
  | LogServices.LogFailure

export interface Published {
  readonly version: number
  readonly publication: string
  /** False when the same text had been published as this version before. */
  readonly appended: boolean
}

type PublicationResult = neverthrow.Result<Published, PublicationFailure>

/** Checks the text, appends it to the log unless it is already there, and reads the log back for the outcome. */
export async function publish (request: PublicationRequest): Promise<PublicationResult> {
  const fleet = Configuration.FleetConfigurations.parseFleetConfiguration(request.text, request.file)
  if (fleet.isErr()) return neverthrow.err({ kind: 'configuration-invalid', failures: fleet.error })
  const before = await LogServices.readAll(request.logService)
  if (before.isErr()) return neverthrow.err(before.error)
  const newest = findNewestVersion(before.value)
  if (request.base === undefined && newest.text === request.text) {
    return neverthrow.ok({ version: newest.version, publication: newest.publication, appended: false })
  }
  const base = Decisions.Ids.version(request.base ?? newest.version)
  // The id depends only on base and text, so that a repeated command finds its own record.
  const publication = Decisions.Rendezvous.digest(`${base} ${request.text}`)
  return await appendUntilDecided(request, { base, publication }, before.value)
}

async function appendUntilDecided (request: PublicationRequest, proposal: Decisions.PublicationOutcomes.ProposalKey, bodies: readonly string[]): Promise<PublicationResult> {
  const body = Decisions.ConfigurationRecords.encode({ ...proposal, text: request.text })
  let latestBodies = bodies
  for (let appends = 0; appends <= MAX_APPENDS; appends += 1) {
    const outcome = Decisions.PublicationOutcomes.determine(latestBodies, proposal, Configuration.FleetConfigurations.parseConfiguration)
    if (outcome.kind !== 'absent') return toResult(request, outcome, proposal, appends > 0)
    const appended = await LogServices.append(request.logService, proposal.publication, body)
    const after = await LogServices.readAll(request.logService)
    if (after.isErr()) return neverthrow.err({ ...after.error, mayBeWritten: appended.isOk() || appended.error.mayBeWritten })
    latestBodies = after.value
  }
  return neverthrow.err({ kind: 'log-unavailable', mayBeWritten: true, detail: `the record is not on the log after ${MAX_APPENDS} appends` })
}

function toResult (request: PublicationRequest, outcome: Exclude<Decisions.PublicationOutcomes.PublicationOutcome, { readonly kind: 'absent' }>, proposal: Decisions.PublicationOutcomes.ProposalKey, appended: boolean): PublicationResult {
  switch (outcome.kind) {
    case 'accepted': return neverthrow.ok({ version: outcome.version, publication: proposal.publication, appended })
    case 'invalid': return neverthrow.err({ kind: 'configuration-invalid', failures: [] })
    case 'lost': {
      const changes = changesBetween(outcome.text, request.text)
      return neverthrow.err({ kind: 'publication-conflict', version: outcome.version, publication: outcome.publication, changes })
    }
  }
}

/** Returns the changes from configuration `mine` to `theirs`; none when either text is invalid. */
function changesBetween (theirs: string, mine: string): readonly Configuration.Differences.Change[] {
  const theirFleet = Configuration.FleetConfigurations.parseFleetConfiguration(theirs, 'theirs')
  const myFleet = Configuration.FleetConfigurations.parseFleetConfiguration(mine, 'mine')
  return theirFleet.isOk() && myFleet.isOk() ? Configuration.Differences.differencesBetween(myFleet.value, theirFleet.value) : []
}

interface NewestVersion { readonly version: Decisions.Ids.Version, readonly publication: string, readonly text: string }

/** Finds the newest valid version in the retained records. */
function findNewestVersion (bodies: readonly string[]): NewestVersion {
  const version = Decisions.Ids.version(0)
  let newest: NewestVersion = { version, publication: '', text: '' }
  for (const body of bodies) {
    const record = Decisions.ConfigurationRecords.decode(body)
    if (record.isErr()) continue
    const { publication, text } = record.value
    const next = 'snapshot' in record.value ? record.value.snapshot : Decisions.Ids.version(record.value.base + 1)
    const isValid = Configuration.FleetConfigurations.parseFleetConfiguration(text, 'log').isOk()
    const isNewer = 'snapshot' in record.value ? next > newest.version : record.value.base === newest.version
    if (isValid && isNewer) newest = { version: next, publication, text }
  }
  return newest
}
