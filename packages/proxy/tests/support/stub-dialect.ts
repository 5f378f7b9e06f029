/** Dialect that reads and writes no headers and accepts every response. */
import * as neverthrow from 'neverthrow'
import * as Dialects from '../../src/transport/dialect.js'

export class StubDialect extends Dialects.Dialect {
  readonly reservedFields: ReadonlySet<string> = new Set()
  /** Limit and leaving that responses state. */
  statements: Pick<Dialects.TargetResponseMetadata, 'rateLimit' | 'isLeaving'> = { rateLimit: neverthrow.ok(undefined), isLeaving: false }

  readCallerMetadata (): Dialects.CallerMetadata {
    return {}
  }

  targetRequestFields (): string[] {
    return []
  }

  readResponseRequest (): undefined {
    return undefined
  }

  readTargetMetadata (): Dialects.TargetResponseMetadata {
    return { isNotExecuted: false, isMisdirected: false, isSigned: true, isAltered: false, ...this.statements }
  }

  retryFields (): string[] {
    return []
  }

  answerFields (): string[] {
    return []
  }
}
