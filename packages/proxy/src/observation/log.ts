/** Structured log lines of a process, bounded in rate and never blocking. */
import './roarr-enabled.js'
import * as Roarr from 'roarr'
import * as SonicBooms from 'sonic-boom'

export type Fields = Readonly<Record<string, string | number | boolean | undefined | readonly (string | number)[]>>

/** Lines a second above which lines are dropped and counted; a busy node writes about 40. */
const MAXIMUM_LINES_PER_SECOND = 300
/** Bytes that wait for a slow reader of standard output before lines are dropped. */
const MAXIMUM_BUFFER_BYTES = 1_048_576
/** Bytes collected for one write, so that a line does not cost a system call. */
const MINIMUM_WRITE_BYTES = 4_096
/** Interval of writes of what is collected, in ms. */
const FLUSH_INTERVAL_MS = 500
const MILLISECONDS_PER_SECOND = 1_000
const STANDARD_OUTPUT = 1

export abstract class Log {
  abstract debug (message: string, fields: Fields): void
  abstract info (message: string, fields: Fields): void
  abstract warn (message: string, fields: Fields): void
}

/** For tests and embedders that want no log. */
export class SilentLog extends Log {
  debug (): void { /* Not wanted. */ }
  info (): void { /* Not wanted. */ }
  warn (): void { /* Not wanted. */ }
}

export class ProcessLog extends Log {
  private readonly logger: Roarr.Logger
  private currentSecond = 0
  private linesInSecond = 0
  private dropped = 0

  constructor (node: string, private readonly now: () => number) {
    super()
    const sink = new SonicBooms.SonicBoom({ fd: STANDARD_OUTPUT, sync: false, minLength: MINIMUM_WRITE_BYTES, maxLength: MAXIMUM_BUFFER_BYTES })
    sink.on('drop', () => { this.dropped += 1 })
    Roarr.ROARR.write = line => { sink.write(`${line}\n`) }
    setInterval(() => { sink.flush() }, FLUSH_INTERVAL_MS).unref()
    process.on('exit', () => { flushAtExit(sink) })
    this.logger = Roarr.Roarr.child({ application: 'jasminedale', node })
  }

  /** Lines of this level explain refusals that the requester logs anyway; they are not written. */
  debug (): void { /* The requester's line names the refusal. */ }

  info (message: string, fields: Fields): void {
    if (this.admitLine()) this.logger.info(fields, message)
  }

  warn (message: string, fields: Fields): void {
    if (this.admitLine()) this.logger.warn(fields, message)
  }

  private admitLine (): boolean {
    const second = Math.floor(this.now() / MILLISECONDS_PER_SECOND)
    if (second !== this.currentSecond) {
      this.currentSecond = second
      this.linesInSecond = 0
      if (this.dropped > 0) {
        this.logger.warn({ dropped: this.dropped, limit: MAXIMUM_LINES_PER_SECOND }, 'log lines were dropped')
        this.dropped = 0
      }
    }
    this.linesInSecond += 1
    if (this.linesInSecond > MAXIMUM_LINES_PER_SECOND) this.dropped += 1
    return this.linesInSecond <= MAXIMUM_LINES_PER_SECOND
  }
}

/** A reader that has gone must not turn the exit into a crash. */
function flushAtExit (sink: SonicBooms.SonicBoom): void {
  try {
    sink.flushSync()
  } catch (error) {
    process.stderr.write(`log lines lost at exit: ${String(error)}\n`)
  }
}
