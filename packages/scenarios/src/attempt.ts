/** One attempt that a fake node makes: its end is reported once. */
import * as Decisions from '@jasminedale/decisions'
import type * as FakeNodes from './fake-node.js'
import type * as Surroundings from './surroundings.js'

type Command = Decisions.Commands.Dispatch | Decisions.Commands.Forward

export class Attempt {
  private readonly startedAt: number
  private open = true
  private status: number | undefined
  /** As the host measured it; passed on in `jasminedale-service-time`. */
  private serviceTime = 0
  private relayed: FakeNodes.Responder | undefined
  /** Stops the work at the other end. */
  onCancel: () => void = () => { /* nothing was sent yet */ }

  constructor (private readonly node: FakeNodes.FakeNode, private readonly command: Command, private readonly around: Surroundings.Surroundings) {
    this.startedAt = around.timeline.elapsed()
    node.attempts.set(command.attempt, this)
    around.timeline.after(command.remaining, () => {
      if (this.open) this.onCancel()
      this.finish({ kind: 'timed-out', responseStarted: this.status !== undefined })
    })
  }

  head (status: number, shed: boolean, serviceTime: number): void {
    if (!this.open) return
    this.status = status
    this.serviceTime = serviceTime
    const { request, attempt } = this.command
    this.node.step([{ kind: 'attempt-responded', request, attempt, status, shed, serviceTime: Decisions.Clock.milliseconds(serviceTime) }])
  }

  end (body: string | undefined): void {
    if (body === undefined || this.status === undefined) this.finish({ kind: 'disconnected', responseStarted: this.status !== undefined })
    else this.finish({ kind: 'complete', status: this.status, bytes: body.length, body }, body)
  }

  finish (end: Decisions.Events.AttemptEnd, body?: string): void {
    if (!this.open) return
    this.abandon()
    this.relayed?.end(body)
    const { request, attempt } = this.command
    const elapsed = Decisions.Clock.milliseconds(this.around.timeline.elapsed() - this.startedAt)
    this.node.step([{ kind: 'attempt-finished', request, attempt, end, elapsed }])
  }

  relayTo (responder: FakeNodes.Responder): void {
    this.relayed = responder
    responder.head(this.status ?? 200, false, this.serviceTime)
  }

  cancel (): void {
    if (!this.open) return
    this.onCancel()
    this.finish({ kind: 'cancelled' })
  }

  /** Forgets the attempt without a report, as when the process dies. */
  abandon (): void {
    this.open = false
    this.node.attempts.delete(this.command.attempt)
  }
}
