/** Faults that a stand-in backend server shows on demand. */
import * as zod from 'zod'

export const faultsSchema = zod.object({
  /** Multiplies the service time. */
  slowFactor: zod.number().positive().default(1),
  /** Fraction of requests answered with status 500. */
  errorRate: zod.number().min(0).max(1).default(0),
  /** Fraction of requests that get no answer. */
  hangRate: zod.number().min(0).max(1).default(0),
  /** Fraction of responses cut off in the middle. */
  truncateRate: zod.number().min(0).max(1).default(0),
  /** Fraction of requests shed with status 503 and Retry-After. */
  shedRate: zod.number().min(0).max(1).default(0),
  /** Requests with header `stand-in-crash` end the process. */
  crashOnMark: zod.boolean().default(false),
  /** Answer of the health endpoint, whatever the truth is. */
  health: zod.enum(['truthful', 'always-good', 'always-bad']).default('truthful'),
  /** Replaces the load that is reported. */
  reportedLoad: zod.number().nonnegative().optional(),
  /** Service times are this many times longer directly after the start, falling to normal. */
  coldStartFactor: zod.number().min(1).default(1),
  coldStartMilliseconds: zod.number().nonnegative().default(0),
  /** Connections that are open now go silent; new ones work. */
  silenceOpenConnections: zod.boolean().default(false)
})

export type Faults = zod.infer<typeof faultsSchema>

export const NO_FAULTS: Faults = faultsSchema.parse({})
