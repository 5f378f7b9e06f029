/** One attempt of a simulated node. Reports its end to the engine exactly once. */
import * as Decisions from '@jasminedale/decisions'
import type * as Nodes from './node.js'

const RESPONSE_BYTES = 8_192
/** Time from the response head to the end of the body. */
const BODY_MS = 0.5

export class Attempt {
  private readonly startedAt: number
  private isOpen = true
  private status: number | undefined
  /** In ms, measured by the node on the VM of the server; `jasminedale-service-time` carries it between nodes. */
  private serviceTime = 0
  private requester: Nodes.Requester | undefined
  /** Cancels the request at the server or peer. */
  onCancel: () => void = () => { /* not sent yet */ }

  constructor (private readonly node: Nodes.Node, private readonly command: Decisions.Commands.Dispatch | Decisions.Commands.Forward) {
    this.startedAt = node.fleet.scheduler.now
    node.attempts.set(command.attempt, this)
    node.fleet.scheduler.after(command.remaining, () => {
      if (this.isOpen) this.onCancel()
      this.finish({ kind: 'timed-out', responseStarted: this.status !== undefined })
    })
  }

  head (status: number, serviceTime: number): void {
    if (!this.isOpen) return
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
    if (!this.isOpen) return
    this.isOpen = false
    this.node.attempts.delete(this.command.attempt)
    this.requester?.end(end.kind === 'complete')
    const { request, attempt } = this.command
    const elapsed = Decisions.Clock.milliseconds(this.node.fleet.scheduler.now - this.startedAt)
    this.node.step([{ kind: 'attempt-finished', request, attempt, end, elapsed }])
  }

  relayTo (requester: Nodes.Requester): void {
    this.requester = requester
    requester.head(this.status ?? 200, this.serviceTime)
  }

  cancel (): void {
    if (!this.isOpen) return
    this.onCancel()
    this.finish({ kind: 'cancelled' })
  }
}

export function dispatch (node: Nodes.Node, command: Decisions.Commands.Dispatch): void {
  const { scheduler } = node.fleet
  const attempt = new Attempt(node, command)
  const server = node.fleet.servers.get(command.target)
  const work = {
    id: node.submission(command.request)?.id ?? '',
    finish: (status: number | undefined, elapsed: number): void => {
      if (status !== undefined) attempt.head(status, elapsed)
      scheduler.after(status === undefined ? 0 : BODY_MS, () => { attempt.end(status !== undefined) })
    }
  }
  if (server?.run(work) === true) attempt.onCancel = () => { server.cancel(work) }
  else scheduler.after(0, () => { attempt.finish({ kind: 'unreachable' }) })
}

export function forward (node: Nodes.Node, command: Decisions.Commands.Forward): void {
  const { fleet } = node
  const attempt = new Attempt(node, command)
  const peer = fleet.node(command.address)
  const submission = node.submission(command.request)
  if (peer === undefined || submission === undefined) {
    fleet.scheduler.after(0, () => { attempt.finish({ kind: 'unreachable' }) })
    return
  }
  const deliver = (run: () => void): void => { fleet.deliver(node, peer, run) }
  const { hop, target, remaining, earlierAttempts } = command
  const arrival = { ...submission.arrival, hop, remaining, earlierAttempts, from: node.engine.board.identity.node, ...(target === undefined ? {} : { target }) }
  deliver(() => {
    const request = peer.receive({ id: submission.id, arrival }, {
      head: (status, serviceTime) => { deliver(() => { attempt.head(status, serviceTime) }) },
      end: intact => { deliver(() => { attempt.end(intact) }) },
      refuse: refusal => { deliver(() => { attempt.finish({ kind: 'refused', refusal }) }) }
    })
    attempt.onCancel = () => { deliver(() => { peer.step([{ kind: 'request-cancelled', request }]) }) }
  })
}
