/** What the arbiter of an account knows of one entry that reports to it. */
export interface ReportingEntry {
  incarnation: number
  sequence: number
  offered: number
  admitted: number
  reportedAt: number
  /** Requests a second in the last interval, and smoothed. */
  demand: number
  smoothed: number
  /** Share that the entry was last told, and share that it may hold. */
  told: number
  reserved: number
  /** Part of the limit that the entry brought to the second arbiter. */
  readonly brought: number
  isSilent: boolean
}
