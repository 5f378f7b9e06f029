/** Counts the executions of a stand-in backend server, by idempotency key and by request id. */
import type * as Http from 'node:http'

interface Count {
  started: number
  finished: number
  cancelled: number
}

export interface ExecutionReport {
  readonly total: Count
  readonly byKey: Readonly<Record<string, Count>>
  readonly byRequest: Readonly<Record<string, Count>>
}

export class Executions {
  readonly total: Count = { started: 0, finished: 0, cancelled: 0 }
  private readonly byKey = new Map<string, Count>()
  private readonly byRequest = new Map<string, Count>()

  begin (headers: Http.IncomingHttpHeaders): void {
    for (const count of this.counts(headers)) count.started += 1
  }

  finish (headers: Http.IncomingHttpHeaders): void {
    for (const count of this.counts(headers)) count.finished += 1
  }

  cancel (headers: Http.IncomingHttpHeaders): void {
    for (const count of this.counts(headers)) count.cancelled += 1
  }

  report (): ExecutionReport {
    return { total: this.total, byKey: Object.fromEntries(this.byKey), byRequest: Object.fromEntries(this.byRequest) }
  }

  private counts (headers: Http.IncomingHttpHeaders): Count[] {
    return [this.total, ...countsFor(this.byKey, headers['idempotency-key']), ...countsFor(this.byRequest, headers['stand-in-request'])]
  }
}

function countsFor (counts: Map<string, Count>, name: string | string[] | undefined): Count[] {
  if (typeof name !== 'string') return []
  const count = counts.get(name) ?? { started: 0, finished: 0, cancelled: 0 }
  counts.set(name, count)
  return [count]
}
