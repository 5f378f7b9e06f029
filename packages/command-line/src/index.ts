/** Public interface of the command line. */
export * as ExitCodes from './exit-code.js'
export * as Program from './program.js'
