/** Output of a command: text or, with `--json`, one JSON document. */

export interface Output {
  readonly text: string
  readonly json: unknown
}

/** Prints to standard output. */
export function print (output: Output, asJson: boolean): void {
  process.stdout.write(asJson ? `${JSON.stringify(output.json, null, 2)}\n` : `${output.text}\n`)
}
