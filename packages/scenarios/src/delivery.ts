/** How fake nodes reach backend servers and each other. */
import * as Decisions from '@jasminedale/decisions'
import * as Attempts from './attempt.js'
import type * as FakeNodes from './fake-node.js'
import type * as Networks from './network.js'
import type * as Surroundings from './surroundings.js'

/** Sends a request to a backend server on the node's VM. */
export function dispatch (node: FakeNodes.FakeNode, command: Decisions.Commands.Dispatch, around: Surroundings.Surroundings): void {
  const submission = node.submission(command.request)
  const server = around.server(command.target)
  const attempt = new Attempts.Attempt(node, command, around)
  if (submission === undefined || server === undefined) {
    attempt.finish({ kind: 'unreachable' })
    return
  }
  attempt.onCancel = () => { server.cancel(attempt) }
  const openedAt = node.connection(command.address)
  const accepted = server.run({ service: submission.arrival.service, payload: submission.payload, openedAt }, attempt)
  if (!accepted) around.timeline.after(0, () => { attempt.finish({ kind: 'unreachable' }) })
}

/** Sends a request to another node. */
export function forward (node: FakeNodes.FakeNode, command: Decisions.Commands.Forward, around: Surroundings.Surroundings): void {
  const submission = node.submission(command.request)
  const peer = around.nodeAt(command.address)
  const attempt = new Attempts.Attempt(node, command, around)
  if (submission === undefined || peer === undefined) {
    attempt.finish({ kind: 'unreachable' })
    return
  }
  const { hop, target, remaining, earlierAttempts, baseline } = command
  const arrival: FakeNodes.Submission['arrival'] = {
    ...hopIndependent(submission.arrival),
    hop,
    remaining,
    earlierAttempts,
    from: node.place.node as Decisions.Ids.NodeId,
    ...(target === undefined ? {} : { target }),
    ...(baseline === undefined ? {} : { baseline })
  }
  const back = returnPath(peer.place, node.place, attempt, around)
  carry(around, node.place, peer.place, () => {
    if (peer.state === 'down') {
      carry(around, peer.place, node.place, () => { attempt.finish({ kind: 'unreachable' }) })
      return
    }
    const request = peer.receive({ arrival, payload: submission.payload }, back)
    attempt.onCancel = () => {
      carry(around, node.place, peer.place, () => { peer.step([{ kind: 'request-cancelled', request }]) })
    }
  })
}

/** Sends a control message. */
export function send (node: FakeNodes.FakeNode, command: Decisions.Commands.Send, around: Surroundings.Surroundings): void {
  const peer = around.nodeAt(command.address)
  if (peer === undefined || peer.state === 'down') return
  const { network } = around
  const arrives = command.channel === 'stream' ? network.open(node.place, peer.place) : network.delivers(node.place, peer.place)
  if (!arrives) return
  const { address } = around.identity(node.place, around.timeline.now())
  around.timeline.after(network.delay(node.place, peer.place), () => {
    peer.step([{ kind: 'message-received', from: node.place.node as Decisions.Ids.NodeId, address, message: command.message }])
  })
}

type Draft = { -readonly [Key in keyof FakeNodes.Submission['arrival']]: FakeNodes.Submission['arrival'][Key] }

/** The fields that do not depend on the hop. */
function hopIndependent (arrival: FakeNodes.Submission['arrival']): FakeNodes.Submission['arrival'] {
  const rest: Draft = { ...arrival }
  delete rest.baseline
  delete rest.target
  return rest
}

function returnPath (from: Networks.Place, to: Networks.Place, attempt: Attempts.Attempt, around: Surroundings.Surroundings): FakeNodes.Responder {
  // A stream keeps its order, whatever the jitter of single packets.
  let latest = 0
  const back = (run: () => void): void => {
    if (!around.network.open(from, to)) return
    latest = Math.max(latest, around.timeline.elapsed() + around.network.delay(from, to))
    around.timeline.at(latest, run)
  }
  return {
    head: (status, shed, serviceTime) => { back(() => { attempt.head(status, shed, serviceTime) }) },
    end: body => { back(() => { attempt.end(body) }) },
    refuse: refusal => { back(() => { attempt.finish({ kind: 'refused', refusal }) }) },
    replay: (status, body) => {
      back(() => {
        attempt.head(status, false, 0)
        attempt.end(body ?? '')
      })
    },
    reset: () => { back(() => { attempt.finish({ kind: 'disconnected', responseStarted: false }) }) }
  }
}

/** Runs `arrive` after the network's delay, or never when the way is cut. */
function carry (around: Surroundings.Surroundings, from: Networks.Place, to: Networks.Place, arrive: () => void): void {
  if (!around.network.open(from, to)) return
  around.timeline.after(around.network.delay(from, to), arrive)
}
