/** One attempt of a fake node. Reports its end to the engine exactly once. */
import * as Decisions from '@jasminedale/decisions'
import type * as FakeNodes from './fake-node.js'
import type * as Environments from './environment.js'

type Command = Decisions.Commands.Dispatch | Decisions.Commands.Forward

export class Attempt {
  private readonly startedAt: number
  private isOpen = true
  private status: number | undefined
  /** In ms, measured by the node on the VM of the server; `jasminedale-service-time` carries it between nodes. */
  private serviceTime = 0
  private relayResponder: FakeNodes.Responder | undefined
  /** Cancels the request at the server or peer. */
  onCancel: () => void = () => { /* not sent yet */ }

  constructor (private readonly node: FakeNodes.FakeNode, private readonly command: Command, private readonly environment: Environments.Environment) {
    this.startedAt = environment.timeline.elapsed()
    node.attempts.set(command.attempt, this)
    environment.timeline.after(command.remaining, () => {
      if (this.isOpen) this.onCancel()
      this.finish({ kind: 'timed-out', responseStarted: this.status !== undefined })
    })
  }

  head (status: number, shed: boolean, serviceTime: number): void {
    if (!this.isOpen) return
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
    if (!this.isOpen) return
    this.abandon()
    this.relayResponder?.end(body)
    const { request, attempt } = this.command
    const elapsed = Decisions.Clock.milliseconds(this.environment.timeline.elapsed() - this.startedAt)
    this.node.step([{ kind: 'attempt-finished', request, attempt, end, elapsed }])
  }

  relayTo (responder: FakeNodes.Responder): void {
    this.relayResponder = responder
    responder.head(this.status ?? 200, false, this.serviceTime)
  }

  cancel (): void {
    if (!this.isOpen) return
    this.onCancel()
    this.finish({ kind: 'cancelled' })
  }

  /** Drops the attempt without reporting its end, as when the process is killed. */
  abandon (): void {
    this.isOpen = false
    this.node.attempts.delete(this.command.attempt)
  }
}
