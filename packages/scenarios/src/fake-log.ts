/** In-memory fake of the platform's append-only log service. */
import * as Decisions from '@jasminedale/decisions'
import type * as Scripts from './script.js'
import type * as Timelines from './timeline.js'

const RETENTION_PERIOD = Decisions.Clock.hours(1)
const ROUND_TRIP_MS = 10

type Reply = (event: Decisions.Events.ExternalEvent) => void

export class FakeLog {
  state: Scripts.LogState = 'up'
  private readonly streams = new Map<Decisions.Events.Stream, Decisions.Events.LogRecord[]>()

  constructor (private readonly timeline: Timelines.Timeline) {}

  read (command: Decisions.Commands.ReadLog, reply: Reply): void {
    this.timeline.after(ROUND_TRIP_MS, () => {
      if (this.state === 'down') {
        reply({ kind: 'log-unavailable', stream: command.stream })
        return
      }
      const retained = this.retainedRecords(command.stream)
      const end = this.records(command.stream).length
      const records = retained.filter(record => record.offset >= command.from)
      reply({ kind: 'log-read', stream: command.stream, records, start: retained[0]?.offset ?? end, end, logTime: this.timeline.now(), retention: RETENTION_PERIOD })
    })
  }

  append (stream: Decisions.Events.Stream, token: string, body: string, reply: Reply): void {
    this.timeline.after(ROUND_TRIP_MS, () => {
      if (this.state === 'down') {
        reply({ kind: 'append-finished', stream, token, result: 'failed' })
        return
      }
      const records = this.records(stream)
      const offset = records.length
      records.push({ offset, appendedAt: this.timeline.now(), body })
      if (this.state === 'loses-replies') reply({ kind: 'append-finished', stream, token, result: 'unknown' })
      else reply({ kind: 'append-finished', stream, token, result: 'appended', offset })
    })
  }

  private records (stream: Decisions.Events.Stream): Decisions.Events.LogRecord[] {
    const records = this.streams.get(stream) ?? []
    this.streams.set(stream, records)
    return records
  }

  private retainedRecords (stream: Decisions.Events.Stream): readonly Decisions.Events.LogRecord[] {
    const oldest = this.timeline.now() - RETENTION_PERIOD
    return this.records(stream).filter(record => record.appendedAt >= oldest)
  }
}
