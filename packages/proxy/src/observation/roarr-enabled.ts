/** Enables Roarr, which reads this variable once when it is imported. Import this module before Roarr. */
process.env.ROARR_LOG = 'true'
