/** A dialect without any fields. */
import * as Dialects from '../../src/transport/dialect.js'

export class PlainDialect extends Dialects.Dialect {
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
