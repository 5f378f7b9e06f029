/** Reads and checks the keys of one section and records the failures. */
import type * as Documents from './document.js'
import type * as Failures from './failure.js'
import type * as ValueTypes from './value-type.js'

export class SectionReader {
  private readonly readKeys = new Set<string>()

  constructor (
    private readonly document: Documents.Document,
    private readonly section: Documents.Section,
    private readonly failures: Failures.Failure[]
  ) {}

  /** Returns the value of an optional key. An invalid value is recorded as a failure and treated as absent. */
  readOptional<Output> (key: string, valueType: ValueTypes.ValueType<Output>): Output | undefined {
    this.readKeys.add(key)
    const entry = this.section.entries.find(candidate => candidate.key === key)
    if (entry === undefined) return undefined
    const result = valueType.schema.safeParse(entry.value)
    if (result.success) return result.data
    this.recordFailure('invalid-value', entry.line, key, entry.value, valueType.allowed)
    return undefined
  }

  /** Returns the value of a required key. A missing or invalid value is recorded as a failure. */
  readRequired<Output> (key: string, valueType: ValueTypes.ValueType<Output>): Output | undefined {
    const isPresent = this.section.entries.some(candidate => candidate.key === key)
    if (!isPresent) this.recordFailure('missing-key', this.section.line, key, '', valueType.allowed)
    return this.readOptional(key, valueType)
  }

  /** Records a failure for every key that has not been read. */
  rejectOthers (): void {
    for (const entry of this.section.entries) {
      if (this.readKeys.has(entry.key)) continue
      this.recordFailure('unknown-key', entry.line, entry.key, entry.value, [...this.readKeys].join(', '))
    }
  }

  /** Records a conflict between several keys at the line of `key`. */
  recordConflict (key: string, allowed: string): void {
    const entry = this.section.entries.find(candidate => candidate.key === key)
    this.recordFailure('conflicting-values', entry?.line ?? this.section.line, key, entry?.value ?? '', allowed)
  }

  private recordFailure (kind: Failures.FailureKind, line: number, key: string, value: string, allowed: string): void {
    this.failures.push({ kind, file: this.document.file, line, section: this.section.name, key, value, allowed })
  }
}
