/** A dialect without any fields. */
import * as Dialects from '../../src/transport/dialect.js'

export class PlainDialect extends Dialects.Dialect {
  readonly reservedFields: ReadonlySet<string> = new Set()

  readCallerMetadata (): Dialects.CallerMetadata {
    return {}
  }

  targetRequestFields (): string[] {
    return []
  }

  readTargetMetadata (): Dialects.TargetResponseMetadata {
    return { isNotExecuted: false, isMisdirected: false, isSigned: true, isAltered: false }
  }

  retryFields (): string[] {
    return []
  }

  answerFields (): string[] {
    return []
  }
}
