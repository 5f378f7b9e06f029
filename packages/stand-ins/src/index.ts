/** Public interface of the stand-ins. */
export * as BackendServers from './backend-server.js'
export * as Executions from './executions.js'
export * as Faults from './faults.js'
