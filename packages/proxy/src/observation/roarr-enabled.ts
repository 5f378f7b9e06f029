/** Roarr decides at its import, by this variable, whether its loggers ever write. Import this module before it. */
process.env.ROARR_LOG = 'true'
