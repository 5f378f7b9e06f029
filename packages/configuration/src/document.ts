/** An INI file as sections of keys, each with its line. */
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

/** Value of one `key = value` line, unquoted by the INI library. */
function decode (line: string): { readonly key: string, readonly value: string } | undefined {
  const parsed = Object.entries(ini.parse(line))[0]
  if (parsed === undefined || !line.includes('=')) return undefined
  return { key: parsed[0].trim(), value: String(parsed[1]) }
}

function fail (draft: Draft, kind: Failures.FailureKind, line: number, key: string, value: string, allowed: string): void {
  const section = draft.sections.at(-1)?.name ?? ''
  draft.failures.push({ kind, file: draft.file, line, section, key, value, allowed })
}

function openSection (draft: Draft, name: string, line: number): void {
  const repeated = draft.sections.some(section => section.name === name)
  draft.sections.push({ name, line, entries: [] })
  if (repeated) fail(draft, 'duplicate-section', line, '', '', 'each section once')
}

function addEntry (draft: Draft, text: string, line: number): void {
  const section = draft.sections.at(-1)
  const entry = decode(text)
  if (entry === undefined) {
    fail(draft, 'syntax', line, '', text, 'a line of the form key = value')
    return
  }
  if (section === undefined) {
    fail(draft, 'syntax', line, entry.key, entry.value, 'keys only inside a [section]')
    return
  }
  if (section.entries.some(known => known.key === entry.key)) {
    fail(draft, 'duplicate-key', line, entry.key, entry.value, 'each key once in a section')
    return
  }
  section.entries.push({ ...entry, line })
}

/** Reads INI text. Lines are decoded one by one, because the library itself keeps no line numbers. */
export function read (text: string, file: string): Document {
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
