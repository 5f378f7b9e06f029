/** Public interface of the configuration package. */
export * as Difference from './difference.js'
export * as Failures from './failure.js'
export * as Fleets from './fleet.js'
export * as Process from './process.js'
