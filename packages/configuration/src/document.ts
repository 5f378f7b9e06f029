/** Parses INI files into sections and keys with line numbers. */
import ini from 'ini'
import type * as Failures from './failure.js'

export interface Entry {
  readonly key: string
  readonly value: string
  readonly line: number
}

export interface Section {
  readonly name: string
  readonly line: number
  readonly entries: readonly Entry[]
}

export interface Document {
  readonly file: string
  readonly sections: readonly Section[]
  readonly failures: readonly Failures.Failure[]
}

interface Draft {
  readonly file: string
  readonly sections: Array<{ name: string, line: number, entries: Entry[] }>
  readonly failures: Failures.Failure[]
}

/** Parses one `key = value` line. The INI library removes quotes and escapes. */
function decodeEntry (line: string): { readonly key: string, readonly value: string } | undefined {
  const parsed = Object.entries(ini.parse(line))[0]
  if (parsed === undefined || !line.includes('=')) return undefined
  return { key: parsed[0].trim(), value: String(parsed[1]) }
}

function addFailure (draft: Draft, kind: Failures.FailureKind, line: number, key: string, value: string, allowed: string): void {
  const section = draft.sections.at(-1)?.name ?? ''
  draft.failures.push({ kind, file: draft.file, line, section, key, value, allowed })
}

function openSection (draft: Draft, name: string, line: number): void {
  const isRepeated = draft.sections.some(section => section.name === name)
  draft.sections.push({ name, line, entries: [] })
  if (isRepeated) addFailure(draft, 'duplicate-section', line, '', '', 'each section once')
}

function addEntry (draft: Draft, text: string, line: number): void {
  const section = draft.sections.at(-1)
  const entry = decodeEntry(text)
  if (entry === undefined) {
    addFailure(draft, 'syntax', line, '', text, 'a line of the form key = value')
    return
  }
  if (section === undefined) {
    addFailure(draft, 'syntax', line, entry.key, entry.value, 'keys only inside a [section]')
    return
  }
  if (section.entries.some(known => known.key === entry.key)) {
    addFailure(draft, 'duplicate-key', line, entry.key, entry.value, 'each key once in a section')
    return
  }
  section.entries.push({ ...entry, line })
}

/** Parses INI text line by line, because the INI library does not report line numbers. */
export function parse (text: string, file: string): Document {
  const draft: Draft = { file, sections: [], failures: [] }
  text.split(/\r?\n/).forEach((raw, index) => {
    const line = raw.trim()
    if (line === '' || line.startsWith(';') || line.startsWith('#')) return
    const heading = /^\[([^\]]*)\]$/.exec(line)
    if (heading !== null) openSection(draft, (heading[1] ?? '').trim().replace(/\s+/g, ' '), index + 1)
    else addEntry(draft, line, index + 1)
  })
  return draft
}
