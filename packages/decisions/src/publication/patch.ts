/** Difference of two texts: the part between a common start and a common end. */
import type * as Messages from './message.js'

export interface Patch { readonly prefix: number, readonly suffix: number, readonly middle: string }

/** What turns `base` into `text`. */
export function difference (base: string, text: string): Patch {
  const limit = Math.min(base.length, text.length)
  let prefix = 0
  while (prefix < limit && base[prefix] === text[prefix]) prefix += 1
  let suffix = 0
  while (suffix < limit - prefix && base.at(-1 - suffix) === text.at(-1 - suffix)) suffix += 1
  return { prefix, suffix, middle: text.slice(prefix, text.length - suffix) }
}

/** Applies a patch to `base`; the caller checks the result against a digest. */
export function apply (base: string, patch: Patch): string {
  return base.slice(0, patch.prefix) + patch.middle + base.slice(base.length - patch.suffix)
}

/** The text of a message's content, given the text of the version it may be based on. */
export function resolve (content: Messages.Content, base: string): string {
  return content.kind === 'whole' ? content.text : apply(base, content)
}
