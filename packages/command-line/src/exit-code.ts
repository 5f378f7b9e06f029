/** Exit codes of `jasminedale`, listed in docs/operators.md. */

export const EXIT_CODE = {
  success: 0,
  /** The command line is invalid. */
  usage: 2,
  /** A file or an input line is invalid. */
  invalid: 3,
  /** Another configuration was published on the same base version first. */
  conflict: 4,
  /** The node or the log service did not answer or refused, or a new node could not listen on its address. */
  unavailable: 5,
  /** The version was accepted, but was not seen in force on all nodes within the waiting time. */
  pending: 6,
  /** Another process uses the address. */
  addressInUse: 7
} as const
