/** Roarr reads this variable when it is imported and logs only if it is set, so this module must be imported first. */
process.env.ROARR_LOG = 'true'
