/**
 * Control messages of the ejection controller, validated on receipt. A claim is one attempt to eject a target.
 * A promiser is another target of the service that promises, through its host, to stay in service meanwhile.
 */
import * as zod from 'zod'
import * as Ids from '../core/ids.js'

const target = zod.string().transform(value => Ids.targetId(value))
const round = zod.number().int().nonnegative()
const count = zod.number().int().nonnegative()

/** Requests promises of targets on the receiving host. */
const promiseRequest = zod.object({
  kind: zod.literal('promise-request'),
  /** Unique id of the claim; each promise counts for one claim only. */
  claim: zod.string(),
  target,
  service: zod.string().transform(value => Ids.service(value)),
  region: zod.string().transform(value => Ids.region(value)),
  /** Increases with each request of a claim, so that late replies and releases are recognized. */
  round,
  promisers: zod.array(target)
})

const promiseReply = zod.object({
  kind: zod.literal('promise-reply'),
  claim: zod.string(),
  target,
  round,
  granted: zod.array(target),
  /** Granted promisers without recent work, whose health says nothing about a common cause. */
  idle: zod.array(target),
  /** `under-evidence`: the promiser is suspect, or its host has a claim to eject it. */
  refused: zod.array(zod.object({ target, reason: zod.enum(['unknown', 'not-in-service', 'under-evidence']) })),
  /** Targets of the service, and those of them in the region of the claimed target, that the sender knows. */
  serviceCount: count,
  regionCount: count,
  /** Capacity floor in force on the sender. */
  floor: zod.number().min(0).max(1)
})

/** Releases promises: the claim no longer relies on any that these promisers granted in this or an earlier round. */
const promiseRelease = zod.object({ kind: zod.literal('promise-release'), claim: zod.string(), round, promisers: zod.array(target) })

/** Requests the release of promisers that are themselves suspect, as soon as the claim can do without them. */
const promiseReturn = zod.object({ kind: zod.literal('promise-return'), claim: zod.string(), target, promisers: zod.array(target) })

/** Withdraws the promises of promisers that are leaving or gone. */
const promiseWithdrawal = zod.object({ kind: zod.literal('promise-withdrawal'), claim: zod.string(), target, promisers: zod.array(target) })

export const ejectionMessage = zod.discriminatedUnion('kind', [promiseRequest, promiseReply, promiseRelease, promiseReturn, promiseWithdrawal])

export type EjectionMessage = zod.infer<typeof ejectionMessage>
export type PromiseRequest = zod.infer<typeof promiseRequest>
export type PromiseReply = zod.infer<typeof promiseReply>
export type PromiseRelease = zod.infer<typeof promiseRelease>
export type PromiseReturn = zod.infer<typeof promiseReturn>
export type PromiseWithdrawal = zod.infer<typeof promiseWithdrawal>
