/** Dialect that reads and writes no headers and accepts every response. */
import * as neverthrow from 'neverthrow'
import * as Dialects from '../../src/transport/dialect.js'

export class StubDialect extends Dialects.Dialect {
  readonly reservedFields: ReadonlySet<string> = new Set()

  readCallerMetadata (): Dialects.CallerMetadata {
    return {}
  }

  targetRequestFields (): string[] {
    return []
  }

  readTargetMetadata (): Dialects.TargetResponseMetadata {
    return { isNotExecuted: false, isMisdirected: false, isSigned: true, isAltered: false, rateLimit: neverthrow.ok(undefined) }
  }

  retryFields (): string[] {
    return []
  }

  answerFields (): string[] {
    return []
  }
}
