/** Delivery of requests and control messages from fake nodes to backend servers and other nodes. */
import * as Decisions from '@jasminedale/decisions'
import * as Attempts from './attempt.js'
import type * as FakeNodes from './fake-node.js'
import type * as Networks from './network.js'
import type * as Environments from './environment.js'

/** Sends a request to a backend server on the node's VM. */
export function dispatch (node: FakeNodes.FakeNode, command: Decisions.Commands.Dispatch, environment: Environments.Environment): void {
  const submission = node.submission(command.request)
  const server = environment.server(command.target)
  const attempt = new Attempts.Attempt(node, command, environment)
  if (submission === undefined || server === undefined) {
    attempt.finish({ kind: 'unreachable' })
    return
  }
  attempt.onCancel = () => { server.cancel(attempt) }
  const openedAt = node.connectionOpenedAt(command.address)
  const accepted = server.run({ service: submission.arrival.service, payload: submission.payload, openedAt }, attempt)
  if (!accepted) environment.timeline.after(0, () => { attempt.finish({ kind: 'unreachable' }) })
}

/** Sends a request to another node. */
export function forward (node: FakeNodes.FakeNode, command: Decisions.Commands.Forward, environment: Environments.Environment): void {
  const submission = node.submission(command.request)
  const peer = environment.nodeAt(command.address)
  const attempt = new Attempts.Attempt(node, command, environment)
  if (submission === undefined || peer === undefined) {
    attempt.finish({ kind: 'unreachable' })
    return
  }
  const { hop, target, remaining, earlierAttempts, baseline } = command
  const arrival: FakeNodes.Submission['arrival'] = {
    ...withoutHopFields(submission.arrival),
    hop,
    remaining,
    earlierAttempts,
    from: node.place.node as Decisions.Ids.NodeId,
    ...(target === undefined ? {} : { target }),
    ...(baseline === undefined ? {} : { baseline })
  }
  const returnPath = createReturnPath(peer.place, node.place, attempt, environment)
  deliver(environment, node.place, peer.place, () => {
    if (peer.state === 'down') {
      deliver(environment, peer.place, node.place, () => { attempt.finish({ kind: 'unreachable' }) })
      return
    }
    const request = peer.receive({ arrival, payload: submission.payload }, returnPath)
    attempt.onCancel = () => {
      deliver(environment, node.place, peer.place, () => { peer.step([{ kind: 'request-cancelled', request }]) })
    }
  })
}

/** Sends a control message. */
export function send (node: FakeNodes.FakeNode, command: Decisions.Commands.Send, environment: Environments.Environment): void {
  const peer = environment.nodeAt(command.address)
  if (peer === undefined || peer.state === 'down') return
  const { network } = environment
  const isDelivered = command.channel === 'stream' ? network.isOpen(node.place, peer.place) : network.deliversDatagram(node.place, peer.place)
  if (!isDelivered) return
  const { address } = environment.identity(node.place, environment.timeline.now())
  environment.timeline.after(network.delay(node.place, peer.place), () => {
    peer.step([{ kind: 'message-received', from: node.place.node as Decisions.Ids.NodeId, address, message: command.message }])
  })
}

type MutableArrival = { -readonly [Key in keyof FakeNodes.Submission['arrival']]: FakeNodes.Submission['arrival'][Key] }

/** Returns the arrival without the fields that each hop sets anew. */
function withoutHopFields (arrival: FakeNodes.Submission['arrival']): FakeNodes.Submission['arrival'] {
  const rest: MutableArrival = { ...arrival }
  delete rest.baseline
  delete rest.target
  return rest
}

function createReturnPath (from: Networks.Place, to: Networks.Place, attempt: Attempts.Attempt, environment: Environments.Environment): FakeNodes.Responder {
  // Delivery times never decrease, since a stream preserves order despite jitter.
  let latest = 0
  const sendBack = (run: () => void): void => {
    if (!environment.network.isOpen(from, to)) return
    latest = Math.max(latest, environment.timeline.elapsed() + environment.network.delay(from, to))
    environment.timeline.at(latest, run)
  }
  return {
    head: (status, shed, serviceTime) => { sendBack(() => { attempt.head(status, shed, serviceTime) }) },
    end: body => { sendBack(() => { attempt.end(body) }) },
    refuse: refusal => { sendBack(() => { attempt.finish({ kind: 'refused', refusal }) }) },
    replay: (status, body) => {
      sendBack(() => {
        attempt.head(status, false, 0)
        attempt.end(body ?? '')
      })
    },
    reset: () => { sendBack(() => { attempt.finish({ kind: 'disconnected', responseStarted: false }) }) }
  }
}

/** Calls `onArrival` after the network delay, or never if the network is cut in that direction. */
function deliver (environment: Environments.Environment, from: Networks.Place, to: Networks.Place, onArrival: () => void): void {
  if (!environment.network.isOpen(from, to)) return
  environment.timeline.after(environment.network.delay(from, to), onArrival)
}
