/** Generates open-loop load on a simulated fleet and records every answer. */
import * as Decisions from '@jasminedale/decisions'
import * as Fleets from './fleet.js'
import type * as Nodes from './node.js'

export interface LoadOptions {
  /** Requests per second over all entries. */
  readonly rate: number
  readonly from: number
  readonly until: number
  readonly method?: string
  readonly path?: string
  /** Milliseconds. */
  readonly deadline: number
  readonly entries?: readonly Nodes.Node[]
}

export interface Answer {
  readonly id: string
  readonly sentAt: number
  readonly at: number
  /** Absent for refusals. */
  readonly status?: number
  readonly refusal?: Decisions.Refusals.Refusal
  readonly intact: boolean
}

export class Load {
  readonly answers: Answer[] = []
  sent = 0

  constructor (private readonly fleet: Fleets.Fleet, private readonly options: LoadOptions) {
    fleet.scheduler.after(options.from - fleet.scheduler.now, () => { this.sendNext() })
  }

  /** Complete answers with status 200 within the deadline. */
  successfulAnswers (): readonly Answer[] {
    return this.answers.filter(answer => answer.status === 200 && answer.intact && answer.at - answer.sentAt <= this.options.deadline)
  }

  private sendNext (): void {
    const { scheduler, distribution } = this.fleet
    if (scheduler.now >= this.options.until) return
    this.send()
    scheduler.after(distribution.exponential(1_000 / this.options.rate), () => { this.sendNext() })
  }

  private send (): void {
    const { scheduler, distribution } = this.fleet
    const entries = this.options.entries ?? this.fleet.nodes
    const entry = entries[distribution.below(entries.length)]
    if (entry === undefined) return
    this.sent += 1
    const id = `${this.options.path ?? '/'}#${this.sent}`
    const sentAt = scheduler.now
    const answer = (rest: Pick<Answer, 'status' | 'refusal' | 'intact'>): void => {
      this.answers.push({ id, sentAt, at: scheduler.now, ...rest })
    }
    let status = 0
    entry.receive({ id, arrival: this.arrival(id) }, {
      head: received => { status = received },
      end: intact => { answer({ status, intact }) },
      refuse: refusal => { answer({ refusal, intact: false }) }
    })
  }

  private arrival (id: string): Nodes.Submission['arrival'] {
    return {
      hop: 'entry',
      service: Fleets.SERVICE,
      method: this.options.method ?? 'GET',
      path: this.options.path ?? '/',
      signature: Decisions.Ids.signature(id),
      replayable: true,
      remaining: Decisions.Clock.milliseconds(this.options.deadline),
      earlierAttempts: 0
    }
  }
}
