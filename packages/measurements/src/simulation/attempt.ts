/** One attempt of a model daemon; its end is reported once. */
import * as Decisions from '@jasminedale/decisions'
import type * as Nodes from './node.js'

const RESPONSE_BYTES = 8_192
/** A response body follows its head after this time, in ms. */
const BODY_MS = 0.5

export class Attempt {
  private readonly startedAt: number
  private open = true
  private status: number | undefined
  /** As the host measured it; passed on in `jasminedale-service-time`. */
  private serviceTime = 0
  private requester: Nodes.Requester | undefined
  /** Stops the work at the other end. */
  onCancel: () => void = () => { /* nothing was sent yet */ }

  constructor (private readonly node: Nodes.Node, private readonly command: Decisions.Commands.Dispatch | Decisions.Commands.Forward) {
    this.startedAt = node.fleet.agenda.now
    node.attempts.set(command.attempt, this)
    node.fleet.agenda.after(command.remaining, () => {
      if (this.open) this.onCancel()
      this.finish({ kind: 'timed-out', responseStarted: this.status !== undefined })
    })
  }

  head (status: number, serviceTime: number): void {
    if (!this.open) return
    this.status = status
    this.serviceTime = serviceTime
    const { request, attempt } = this.command
    this.node.step([{ kind: 'attempt-responded', request, attempt, status, shed: false, serviceTime: Decisions.Clock.milliseconds(serviceTime) }])
  }

  end (intact: boolean): void {
    if (!intact || this.status === undefined) this.finish({ kind: 'disconnected', responseStarted: this.status !== undefined })
    else this.finish({ kind: 'complete', status: this.status, bytes: RESPONSE_BYTES })
  }

  finish (end: Decisions.Events.AttemptEnd): void {
    if (!this.open) return
    this.open = false
    this.node.attempts.delete(this.command.attempt)
    this.requester?.end(end.kind === 'complete')
    const { request, attempt } = this.command
    const elapsed = Decisions.Clock.milliseconds(this.node.fleet.agenda.now - this.startedAt)
    this.node.step([{ kind: 'attempt-finished', request, attempt, end, elapsed }])
  }

  relayTo (requester: Nodes.Requester): void {
    this.requester = requester
    requester.head(this.status ?? 200, this.serviceTime)
  }

  cancel (): void {
    if (!this.open) return
    this.onCancel()
    this.finish({ kind: 'cancelled' })
  }
}

export function dispatch (node: Nodes.Node, command: Decisions.Commands.Dispatch): void {
  const { agenda } = node.fleet
  const attempt = new Attempt(node, command)
  const server = node.fleet.servers.get(command.target)
  const work = {
    id: node.submission(command.request)?.id ?? '',
    finish: (status: number | undefined, elapsed: number): void => {
      if (status !== undefined) attempt.head(status, elapsed)
      agenda.after(status === undefined ? 0 : BODY_MS, () => { attempt.end(status !== undefined) })
    }
  }
  if (server?.run(work) === true) attempt.onCancel = () => { server.cancel(work) }
  else agenda.after(0, () => { attempt.finish({ kind: 'unreachable' }) })
}

export function forward (node: Nodes.Node, command: Decisions.Commands.Forward): void {
  const { fleet } = node
  const attempt = new Attempt(node, command)
  const peer = fleet.node(command.address)
  const submission = node.submission(command.request)
  if (peer === undefined || submission === undefined) {
    fleet.agenda.after(0, () => { attempt.finish({ kind: 'unreachable' }) })
    return
  }
  const carry = (run: () => void): void => {
    fleet.agenda.after(fleet.latency(node, peer), () => { if (fleet.connected(node, peer)) run() })
  }
  const { hop, target, remaining, earlierAttempts } = command
  const arrival = { ...submission.arrival, hop, remaining, earlierAttempts, from: node.engine.board.identity.node, ...(target === undefined ? {} : { target }) }
  carry(() => {
    const request = peer.receive({ id: submission.id, arrival }, {
      head: (status, serviceTime) => { carry(() => { attempt.head(status, serviceTime) }) },
      end: intact => { carry(() => { attempt.end(intact) }) },
      refuse: refusal => { carry(() => { attempt.finish({ kind: 'refused', refusal }) }) }
    })
    attempt.onCancel = () => { carry(() => { peer.step([{ kind: 'request-cancelled', request }]) }) }
  })
}
