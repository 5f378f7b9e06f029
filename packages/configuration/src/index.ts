/** Public interface of the configuration package. */
export * as Differences from './difference.js'
export * as Failures from './failure.js'
export * as FleetConfigurations from './fleet-configuration.js'
export * as ProcessSettings from './process-settings.js'
