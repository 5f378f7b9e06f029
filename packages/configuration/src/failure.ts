/** Failures of configuration files, each with its location and the accepted values. */

export type FailureKind =
  | 'syntax'
  | 'unknown-section'
  | 'unknown-key'
  | 'duplicate-key'
  | 'duplicate-section'
  | 'missing-key'
  | 'invalid-value'
  | 'conflicting-values'

export interface Failure {
  readonly kind: FailureKind
  readonly file: string
  /** Line number from 1; 0 when the failure concerns the whole file. */
  readonly line: number
  readonly section: string
  readonly key: string
  readonly value: string
  /** Description of the accepted values. */
  readonly allowed: string
}

/** Formats a failure as one line of text for operators. */
export function describe (failure: Failure): string {
  const place = `${failure.file}:${failure.line}`
  const where = failure.key === '' ? `[${failure.section}]` : `[${failure.section}] ${failure.key}`
  const value = failure.value === '' ? '' : ` = ${JSON.stringify(failure.value)}`
  return `${place}: ${failure.kind}: ${where}${value}; allowed: ${failure.allowed}`
}
