/** Public interface of the measurements package. */
export * as CostPlacements from './cost-placement.js'
export * as Fleets from './simulation/fleet.js'
export * as Loads from './simulation/load.js'
export * as Overload from './overload.js'
export * as Placement from './placement.js'
