/** Structured logging: one JSON object per line on standard error. */
import './roarr-enabled.js'
import type * as Configuration from '@jasminedale/configuration'
import * as Roarr from 'roarr'

export type Logger = Roarr.Logger

type Level = Configuration.ProcessSettings.ProcessSettings['logLevel']

function levelOf (line: string): number {
  const message = JSON.parse(line) as { context?: { logLevel?: number } }
  return message.context?.logLevel ?? 0
}

/** Discards log lines until `writeLogsToStandardError` is called, since programs that embed a node choose where its log goes. */
Roarr.ROARR.write = () => { /* No output was requested. */ }

/** Writes the log lines of this process at or above `level` to standard error. */
export function writeLogsToStandardError (level: Level): void {
  const lowest = Roarr.logLevels[level]
  Roarr.ROARR.write = line => {
    if (levelOf(line) >= lowest) process.stderr.write(`${line}\n`)
  }
}

export function createLogger (node: string): Logger {
  return Roarr.Roarr.child({ application: 'jasminedale', node })
}
