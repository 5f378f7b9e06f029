/** Public interface of the node package. */
export * as Daemons from './daemon.js'
export * as IdempotencyKeys from './idempotency-key.js'
export * as Loggers from './observation/logger.js'
export * as SystemClocks from './clock/system-clock.js'
