/** Current services of the users and the model of noise on healthy targets. */
import * as Decisions from '@jasminedale/decisions'
import * as Distributions from '../simulation/distribution.js'

export interface Deployment {
  readonly name: string
  readonly services: readonly { readonly name: string, readonly targets: number }[]
  readonly slots: number
  /** One-way latency between data centers of a region in ms. */
  readonly latency: number
}

export const DEPLOYMENTS: readonly Deployment[] = [
  { name: 'cinderfold', services: [{ name: 'accounts', targets: 24 }, { name: 'storefront', targets: 8 }], slots: 4, latency: 1 },
  { name: 'ceara', services: [{ name: 'catalog', targets: 24 }, { name: 'orders', targets: 8 }], slots: 3, latency: 1.5 }
]

/** Service times are log-normal with this median and standard deviation of the logarithm. */
export const MEDIAN_MS = 40
export const DEVIATION = 0.4
export const HEALTHY_ERROR_RATE = 0.001
/** Pauses of one target, such as garbage collection: mean interval, mean length and factor on the service time. */
export const PAUSE = { everyMs: 3_600_000, lengthMs: 300, factor: 4 } as const
/** Bursts of a whole service: mean interval, length, factor on arrivals and on service times. */
export const BURST = { everyMs: 600_000, lengthMs: 5_000, arrivals: 3, slowness: 1.5 } as const

export const DECIDERS: Readonly<Record<string, () => Decisions.HealthTests.HealthTest>> = {
  'consecutive-errors': () => new Decisions.ConsecutiveErrors.ConsecutiveErrors(),
  'outlier-window': () => new Decisions.OutlierWindow.OutlierWindow(),
  'sequential-test': () => new Decisions.SequentialTest.SequentialTest()
}

export function serviceTime (distribution: Distributions.Distribution): number {
  return distribution.logNormal(MEDIAN_MS * Math.exp(DEVIATION * DEVIATION / 2), DEVIATION)
}
