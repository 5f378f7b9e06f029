/** Routing decisions that a request met on its way, for the burn report. */
export type Decision =
  /** A target of another data center of the same region was chosen. */
  | 'spilled-to-data-center'
  /** A target of another region was chosen. */
  | 'spilled-to-region'
  /** Only targets that recently failed or refused were left, and one of them was tried. */
  | 'tried-avoided-target'
  | 'retried'
  | 'retry-budget-spent'
  /** Two connections were lost; the request may crash backend servers. */
  | 'connections-lost'
  | 'attempts-spent'
  | 'link-budget-spent'
  | 'deadline-passed'
