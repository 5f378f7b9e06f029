/** Exit codes of `jasminedale`; docs/operators.md lists them. */

export const EXIT_CODE = {
  success: 0,
  /** The command line itself is wrong. */
  usage: 2,
  /** A file does not pass its check. */
  invalid: 3,
  /** Another operator published first. */
  conflict: 4,
  /** The node or the log service did not answer. */
  unavailable: 5,
  /** Accepted, but not seen in force everywhere within the time given. */
  pending: 6,
  /** The address is in use by another process. */
  addressInUse: 7
} as const
