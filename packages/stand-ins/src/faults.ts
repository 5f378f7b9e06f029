/** Faults that can be injected into a stand-in backend server. */
import * as zod from 'zod'

export const faultsSchema = zod.object({
  /** Multiplies the service time. */
  slowFactor: zod.number().positive().default(1),
  /** Fraction of requests answered with status 500. */
  errorRate: zod.number().min(0).max(1).default(0),
  /** Fraction of requests that get no answer. */
  hangRate: zod.number().min(0).max(1).default(0),
  /** Fraction of responses that are truncated. */
  truncateRate: zod.number().min(0).max(1).default(0),
  /** Fraction of requests shed with status 503 and Retry-After. */
  shedRate: zod.number().min(0).max(1).default(0),
  /** A request with the header `stand-in-crash` terminates the process. */
  crashOnMark: zod.boolean().default(false),
  /** What the health endpoint reports: the actual health, or always the same. */
  health: zod.enum(['truthful', 'always-good', 'always-bad']).default('truthful'),
  /** Reported instead of the actual load. */
  reportedLoad: zod.number().nonnegative().optional(),
  /** Multiplies the service time directly after the start; falls linearly to 1 during `coldStartMilliseconds`. */
  coldStartFactor: zod.number().min(1).default(1),
  coldStartMilliseconds: zod.number().nonnegative().default(0),
  /** Connections open at the time of injection no longer get responses; new ones do. */
  silenceOpenConnections: zod.boolean().default(false)
})

export type Faults = zod.infer<typeof faultsSchema>

export const NO_FAULTS: Faults = faultsSchema.parse({})
