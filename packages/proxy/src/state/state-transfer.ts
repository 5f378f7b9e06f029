/** Transfers the configuration and registrations between nodes, for a node that has just started or that the shared log does not answer. */
import * as Decisions from '@jasminedale/decisions'
import * as neverthrow from 'neverthrow'
import * as zod from 'zod'
import type * as Directories from '../directory/directory.js'
import * as Registrations from '../directory/registration.js'
import type * as Logs from '../observation/log.js'
import type * as NodeRpcs from '../transport/node-rpc.js'
import type * as ConfigurationStates from './configuration-state.js'
import type * as RegistrationRecoveries from './registration-recovery.js'
import * as RegistrationRecords from './registration-record.js'

const METHOD = 'state'

export interface StateTransferDependencies {
  readonly clock: Decisions.Clock.Clock
  readonly log: Logs.Log
  readonly configuration: ConfigurationStates.ConfigurationState
  readonly directory: Directories.Directory
  readonly nodeRpc: Pick<NodeRpcs.NodeRpc, 'addMethod' | 'call'>
  readonly registrationRecovery: Pick<RegistrationRecoveries.RegistrationRecovery, 'recordFromPeer'>
}

/** Incarnation, state and sequence number. */
const revisionSchema = zod.tuple([zod.number().transform(Decisions.Ids.incarnation), zod.enum(['ready', 'leaving', 'gone']), zod.number()])
  .transform(([incarnation, state, sequence]) => ({ incarnation, state, sequence }))
/** Version of the configuration in force at the requesting node, and the revision of each registration it has; absent if it asks for none. */
const paramsSchema = zod.object({ version: zod.number(), known: zod.record(zod.string(), revisionSchema).optional() })

const destinationSchema = zod.object({ service: zod.string().transform(Decisions.Ids.service), weight: zod.number().nonnegative() })
const durationSchema = zod.number().transform(Decisions.Clock.milliseconds)
const routeSchema = zod.object({
  name: zod.string(), host: zod.string(), pathPrefix: zod.string(), repeatable: zod.boolean(), timeout: durationSchema, latencyObjective: durationSchema,
  priority: zod.number(), attempts: zod.number(), destinations: zod.array(destinationSchema).readonly(),
  allowsAnonymous: zod.boolean()
})
const accountSchema = zod.object({
  name: zod.string().transform(Decisions.Ids.account), keys: zod.array(zod.string()).readonly(),
  priority: zod.number().exactOptional(), rateLimit: zod.object({ rate: zod.number(), burst: zod.number() }).exactOptional()
})
const configurationSchema = zod.object({
  version: zod.number().transform(Decisions.Ids.version),
  checksum: zod.string(),
  routes: zod.array(routeSchema).readonly(),
  /** Null without accounts. Required, so that a peer of an earlier version, which knows no accounts, is not taken for one that has none. */
  accounts: zod.array(accountSchema).readonly().nullable(),
  limits: zod.object({ headerBytes: zod.number(), bodyBytes: zod.number(), headerTimeout: durationSchema, idleTimeout: durationSchema }),
  features: zod.object({ placesByCost: zod.boolean(), sharesFairly: zod.boolean(), admitsByDependencies: zod.boolean() })
})

const resultSchema = zod.object({
  /** Whether the peer has recent contact with the shared log. */
  current: zod.boolean(),
  configuration: configurationSchema.optional(),
  registrations: zod.array(zod.unknown())
})

type Params = zod.output<typeof paramsSchema>
type Result = zod.infer<typeof resultSchema>

export class StateTransfer {
  constructor (private readonly dependencies: StateTransferDependencies) {
    dependencies.nodeRpc.addMethod(METHOD, params => this.newerState(paramsSchema.parse(params)))
  }

  /** Requests newer state from the node at `address` and merges it. Returns whether that node answered. */
  async fetchFrom (address: Decisions.Ids.Endpoint): Promise<boolean> {
    return await this.fetch(address, { version: this.dependencies.configuration.version, known: this.knownRevisions() })
  }

  /** The same for the configuration alone: a request of constant size, for nodes across a narrow link. */
  async fetchConfigurationFrom (address: Decisions.Ids.Endpoint): Promise<boolean> {
    return await this.fetch(address, { version: this.dependencies.configuration.version })
  }

  private async fetch (address: Decisions.Ids.Endpoint, params: zod.input<typeof paramsSchema>): Promise<boolean> {
    const { clock, log, configuration, nodeRpc } = this.dependencies
    const reply = await nodeRpc.call(address, METHOD, params)
    const result = reply.andThen(value => parseResult(value))
    if (result.isErr()) {
      log.info('state request to a peer failed', { peer: address, error: result.error.detail })
      return false
    }
    const contactAge = Math.round(configuration.contactAge(clock.now()))
    const changed = this.mergeState(result.value)
    if (result.value.current) configuration.recordContact(clock.now())
    if (changed) log.info('state taken over from a peer', { peer: address, version: configuration.version, checksum: configuration.current?.checksum, contactAge })
    return true
  }

  private knownRevisions (): zod.input<typeof paramsSchema>['known'] {
    const { directory } = this.dependencies
    return Object.fromEntries(directory.allTargets().map(({ target, incarnation, state, sequence }) => [target, [incarnation, state, sequence]]))
  }

  private newerState ({ version, known }: Params): Result {
    const { configuration, directory, clock } = this.dependencies
    const { current } = configuration
    const registrations = known === undefined
      ? []
      : directory.allTargets().filter(registration => {
          const revision = known[registration.target]
          return revision === undefined || Registrations.isNewer(registration, revision)
        })
    return {
      current: configuration.isCurrent(clock.now()),
      ...(current !== undefined && current.version > version ? { configuration: { ...current, accounts: current.accounts ?? null } } : {}),
      registrations
    }
  }

  private mergeRegistration (registration: Registrations.Registration): boolean {
    const isNew = this.dependencies.directory.merge(registration)
    if (isNew) this.dependencies.registrationRecovery.recordFromPeer(registration)
    return isNew
  }

  private mergeState (result: Result): boolean {
    const { configuration, log, clock } = this.dependencies
    let changed = result.configuration !== undefined && configuration.replaceIfNewer({ ...result.configuration, accounts: result.configuration.accounts ?? undefined }, clock.now())
    for (const item of result.registrations) {
      const registration = RegistrationRecords.parse('peer', item)
      if (registration.isOk()) changed = this.mergeRegistration(registration.value) || changed
      else log.warn('registration from a peer is invalid', { detail: registration.error.detail })
    }
    return changed
  }
}

function parseResult (value: unknown): neverthrow.Result<Result, NodeRpcs.CallFailure> {
  const result = resultSchema.safeParse(value)
  return result.success ? neverthrow.ok(result.data) : neverthrow.err({ kind: 'call-failed', detail: result.error.message })
}
