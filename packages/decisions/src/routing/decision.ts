/** Routing decisions about a request, which the burn report counts. */
export type Decision =
  /** A target of another data center of the same region was chosen. */
  | 'spilled-to-data-center'
  /** A target of another region was chosen. */
  | 'spilled-to-region'
  /** Only avoided targets were left, and one of them was chosen. */
  | 'tried-avoided-target'
  | 'retried'
  | 'retry-budget-spent'
  /** No retry, because two connections to backend servers were lost; the request may crash them. */
  | 'connections-lost'
  | 'attempts-spent'
  | 'link-budget-spent'
  | 'deadline-passed'
