/** Sender whose outcomes are set by a test. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../../src/directory/registration.js'
import type * as Requests from '../../src/entry/request.js'
import type * as Senders from '../../src/entry/sender.js'
import * as HostedRequests from '../../src/host/hosted-request.js'

export interface Sent {
  readonly target: Decisions.Ids.TargetId
  readonly options: Senders.AttemptOptions
  withdrawn: boolean
  confirmed: boolean
  end (outcome: HostedRequests.Outcome): void
}

export class ScriptedSender {
  readonly sent: Sent[] = []

  /**
   * @param script Outcome of an attempt, counted from 1; undefined leaves the attempt open.
   * @param scheduleConfirmation Calls `confirm` when the host is to confirm an open attempt; at once by default.
   */
  constructor (
    private readonly script: (target: Decisions.Ids.TargetId, attempt: number) => HostedRequests.Outcome | undefined = () => undefined,
    private readonly scheduleConfirmation: (target: Decisions.Ids.TargetId, attempt: number, confirm: () => void) => void = (_target, _attempt, confirm) => { queueMicrotask(confirm) }
  ) {}

  /** A request that ran, or that the target itself refused, must have been confirmed before. */
  private confirmOutcome (outcome: HostedRequests.Outcome, options: Senders.AttemptOptions): HostedRequests.Outcome {
    const hasReachedTarget = outcome.kind !== 'refused' || outcome.reason === 'target-shed' || outcome.reason === 'target-changed'
    return !hasReachedTarget || options.confirm() ? outcome : HostedRequests.refusal('too-late', 0)
  }

  send (_request: Requests.EntryRequest, registration: Registrations.Registration, options: Senders.AttemptOptions): Senders.Attempt {
    let end: (outcome: HostedRequests.Outcome) => void = () => { /* Set by the promise. */ }
    const outcome = new Promise<HostedRequests.Outcome>(resolve => { end = resolve })
    const sent: Sent = { target: registration.target, options, withdrawn: false, confirmed: false, end }
    this.sent.push(sent)
    const scriptedOutcome = this.script(registration.target, this.sent.length)
    if (scriptedOutcome === undefined) this.scheduleConfirmation(registration.target, this.sent.length, () => { sent.confirmed = options.confirm() })
    else queueMicrotask(() => { end(this.confirmOutcome(scriptedOutcome, options)) })
    return {
      target: registration.target,
      outcome,
      isQueued: () => false,
      withdraw: () => {
        sent.withdrawn = true
        end(sent.confirmed ? { kind: 'withdrawn' } : HostedRequests.refusal('too-late', 0))
      }
    }
  }
}
