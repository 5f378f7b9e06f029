/** Text patches that replace the part between a common prefix and a common suffix. */
import type * as Messages from './message.js'

/** `prefix` and `suffix` are the numbers of characters kept; `middle` is the text between them. */
export interface Patch { readonly prefix: number, readonly suffix: number, readonly middle: string }

/** The patch that turns `base` into `text`. */
export function create (base: string, text: string): Patch {
  const limit = Math.min(base.length, text.length)
  let prefix = 0
  while (prefix < limit && base[prefix] === text[prefix]) prefix += 1
  let suffix = 0
  while (suffix < limit - prefix && base.at(-1 - suffix) === text.at(-1 - suffix)) suffix += 1
  return { prefix, suffix, middle: text.slice(prefix, text.length - suffix) }
}

/** Applies a patch to `base`. The caller verifies the result by its digest, since `base` may be another text. */
export function apply (base: string, patch: Patch): string {
  return base.slice(0, patch.prefix) + patch.middle + base.slice(base.length - patch.suffix)
}

/** The text that a message's content stands for; `base` is the text to which a patch is applied. */
export function resolve (content: Messages.Content, base: string): string {
  return content.kind === 'whole' ? content.text : apply(base, content)
}
