/** Public interface of the scenario runner. */
export * as Fleets from './fleet.js'
export * as Parser from './parse.js'
export * as Runner from './run.js'
export * as Scripts from './script.js'
