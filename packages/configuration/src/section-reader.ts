/** Checks the keys of one section and collects what is wrong. */
import type * as Documents from './document.js'
import type * as Failures from './failure.js'
import type * as Values from './value.js'

export class SectionReader {
  private readonly taken = new Set<string>()

  constructor (
    private readonly document: Documents.Document,
    private readonly section: Documents.Section,
    private readonly failures: Failures.Failure[]
  ) {}

  /** The value of an optional key; an invalid one is recorded and read as absent. */
  optional<Output> (key: string, value: Values.Value<Output>): Output | undefined {
    this.taken.add(key)
    const entry = this.section.entries.find(candidate => candidate.key === key)
    if (entry === undefined) return undefined
    const result = value.schema.safeParse(entry.value)
    if (result.success) return result.data
    this.fail('invalid-value', entry.line, key, entry.value, value.allowed)
    return undefined
  }

  /** The value of a key that must be there. */
  required<Output> (key: string, value: Values.Value<Output>): Output | undefined {
    const present = this.section.entries.some(candidate => candidate.key === key)
    if (!present) this.fail('missing-key', this.section.line, key, '', value.allowed)
    return this.optional(key, value)
  }

  /** Records every key that nobody asked for. */
  rejectOthers (): void {
    for (const entry of this.section.entries) {
      if (this.taken.has(entry.key)) continue
      this.fail('unknown-key', entry.line, entry.key, entry.value, [...this.taken].join(', '))
    }
  }

  /** Records a failure that concerns several keys. */
  conflict (key: string, allowed: string): void {
    const entry = this.section.entries.find(candidate => candidate.key === key)
    this.fail('conflicting-values', entry?.line ?? this.section.line, key, entry?.value ?? '', allowed)
  }

  private fail (kind: Failures.FailureKind, line: number, key: string, value: string, allowed: string): void {
    this.failures.push({ kind, file: this.document.file, line, section: this.section.name, key, value, allowed })
  }
}
