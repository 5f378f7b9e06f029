/** Structured log of the process on standard output, with a rate limit and without blocking writes. */
import './roarr-enabled.js'
import * as Roarr from 'roarr'
import * as SonicBooms from 'sonic-boom'

export type Fields = Readonly<Record<string, string | number | boolean | undefined | readonly (string | number)[]>>

/** Lines above this rate are dropped and counted; a busy node writes about 40 a second. */
const MAXIMUM_LINES_PER_SECOND = 300
/** Bytes buffered for a slow reader of standard output; lines beyond them are dropped. */
const MAXIMUM_BUFFER_BYTES = 1_048_576
/** Bytes buffered before a write, which saves a system call for each line. */
const MINIMUM_WRITE_BYTES = 4_096
const FLUSH_INTERVAL_MS = 500
const MILLISECONDS_PER_SECOND = 1_000
const STANDARD_OUTPUT = 1

export abstract class Log {
  abstract debug (message: string, fields: Fields): void
  abstract info (message: string, fields: Fields): void
  abstract warn (message: string, fields: Fields): void
}

/** Discards everything; for tests and embedders without a log. */
export class SilentLog extends Log {
  debug (): void { /* Discarded. */ }
  info (): void { /* Discarded. */ }
  warn (): void { /* Discarded. */ }
}

export class ProcessLog extends Log {
  private readonly logger: Roarr.Logger
  private currentSecond = 0
  private linesInSecond = 0
  private droppedLines = 0

  constructor (node: string, private readonly now: () => number) {
    super()
    const sink = new SonicBooms.SonicBoom({ fd: STANDARD_OUTPUT, sync: false, minLength: MINIMUM_WRITE_BYTES, maxLength: MAXIMUM_BUFFER_BYTES })
    sink.on('drop', () => { this.droppedLines += 1 })
    Roarr.ROARR.write = line => { sink.write(`${line}\n`) }
    setInterval(() => { sink.flush() }, FLUSH_INTERVAL_MS).unref()
    process.on('exit', () => { flushAtExit(sink) })
    this.logger = Roarr.Roarr.child({ application: 'jasminedale', node })
  }

  /** Debug lines are not written: they explain refusals that the requesting node logs itself. */
  debug (): void { /* Discarded. */ }

  info (message: string, fields: Fields): void {
    if (this.admitLine()) this.logger.info(fields, message)
  }

  warn (message: string, fields: Fields): void {
    if (this.admitLine()) this.logger.warn(fields, message)
  }

  /** Counts a line and returns whether it is within the rate limit. Reports the dropped lines when a new second begins. */
  private admitLine (): boolean {
    const second = Math.floor(this.now() / MILLISECONDS_PER_SECOND)
    if (second !== this.currentSecond) {
      this.currentSecond = second
      this.linesInSecond = 0
      if (this.droppedLines > 0) {
        this.logger.warn({ dropped: this.droppedLines, limit: MAXIMUM_LINES_PER_SECOND }, 'log lines were dropped')
        this.droppedLines = 0
      }
    }
    this.linesInSecond += 1
    if (this.linesInSecond > MAXIMUM_LINES_PER_SECOND) this.droppedLines += 1
    return this.linesInSecond <= MAXIMUM_LINES_PER_SECOND
  }
}

/** Writes the buffered lines. A closed standard output must not turn the exit into a crash. */
function flushAtExit (sink: SonicBooms.SonicBoom): void {
  try {
    sink.flushSync()
  } catch (error) {
    process.stderr.write(`buffered log lines could not be written at exit: ${String(error)}\n`)
  }
}
