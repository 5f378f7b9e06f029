/** Control messages of the ejection controller, checked on receipt. */
import * as zod from 'zod'
import * as Ids from '../core/ids.js'

const target = zod.string().transform(value => Ids.targetId(value))
const round = zod.number().int().nonnegative()
const count = zod.number().int().nonnegative()

/** Asks targets on the receiving host to stay in service while the sender's lease lasts. */
const promiseRequest = zod.object({
  kind: zod.literal('promise-request'),
  /** Unique per attempt to eject a target; promises are counted for one claim only. */
  claim: zod.string(),
  target,
  service: zod.string().transform(value => Ids.service(value)),
  region: zod.string().transform(value => Ids.region(value)),
  /** Rises with every request of a claim, so that late replies and releases are recognized. */
  round,
  promisers: zod.array(target)
})

const promiseReply = zod.object({
  kind: zod.literal('promise-reply'),
  claim: zod.string(),
  target,
  round,
  granted: zod.array(target),
  /** Granted promisers that have had no work lately, so that their health says nothing about a shared cause. */
  idle: zod.array(target),
  refused: zod.array(zod.object({ target, reason: zod.enum(['unknown', 'not-in-service', 'under-evidence']) })),
  /** Targets of the service, and of the claimed target's region, that the sender knows. */
  serviceCount: count,
  regionCount: count,
  /** Capacity floor in force on the sender. */
  floor: zod.number().min(0).max(1)
})

/** The claim no longer relies on these promises, nor on any granted in this or an earlier round. */
const promiseRelease = zod.object({ kind: zod.literal('promise-release'), claim: zod.string(), round, promisers: zod.array(target) })

/** A promiser is itself suspect and asks the claim to release it as soon as it can. */
const promiseReturn = zod.object({ kind: zod.literal('promise-return'), claim: zod.string(), target, promisers: zod.array(target) })

/** Promisers are leaving or gone. */
const promiseWithdrawal = zod.object({ kind: zod.literal('promise-withdrawal'), claim: zod.string(), target, promisers: zod.array(target) })

export const ejectionMessage = zod.discriminatedUnion('kind', [promiseRequest, promiseReply, promiseRelease, promiseReturn, promiseWithdrawal])

export type EjectionMessage = zod.infer<typeof ejectionMessage>
export type PromiseRequest = zod.infer<typeof promiseRequest>
export type PromiseReply = zod.infer<typeof promiseReply>
export type PromiseRelease = zod.infer<typeof promiseRelease>
export type PromiseReturn = zod.infer<typeof promiseReturn>
export type PromiseWithdrawal = zod.infer<typeof promiseWithdrawal>
