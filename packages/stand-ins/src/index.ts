/** Public interface of the stand-ins. */
export * as BackendServers from './backend-server.js'
export * as Callers from './caller.js'
export * as Executions from './executions.js'
export * as Faults from './faults.js'
export * as LogServices from './log-service.js'
export * as FleetProcesses from './fleet-process.js'
