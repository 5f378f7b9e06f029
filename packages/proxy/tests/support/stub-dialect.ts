/** Dialect that reads and writes no headers and accepts every response. */
import * as Dialects from '../../src/transport/dialect.js'

export class StubDialect extends Dialects.Dialect {
  readonly reserved: ReadonlySet<string> = new Set()

  callerTerms (): Dialects.CallerTerms {
    return {}
  }

  targetFields (): string[] {
    return []
  }

  targetSigns (): Dialects.TargetSigns {
    return { notRun: false, misdirected: false, signed: true, altered: false }
  }

  retryFields (): string[] {
    return []
  }

  answerFields (): string[] {
    return []
  }
}
