/** A sender whose outcomes a test decides. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../../src/directory/registration.js'
import type * as Requests from '../../src/entry/request.js'
import type * as Senders from '../../src/entry/sender.js'
import * as Works from '../../src/host/work.js'

export interface Sent {
  readonly target: Decisions.Ids.TargetId
  readonly terms: Senders.SendTerms
  withdrawn: boolean
  confirmed: boolean
  end (outcome: Works.Outcome): void
}

export class ScriptedSender {
  readonly sent: Sent[] = []

  /**
   * `script` answers an attempt at once; undefined leaves it open. `silent` decides when the host of an open attempt
   * confirms it; by default at once.
   */
  constructor (
    private readonly script: (target: Decisions.Ids.TargetId, attempt: number) => Works.Outcome | undefined = () => undefined,
    private readonly silent: (target: Decisions.Ids.TargetId, attempt: number, confirm: () => void) => void = (_target, _attempt, confirm) => { queueMicrotask(confirm) }
  ) {}

  /** Outcomes of work that ran follow a confirmation, and so do refusals by the target itself. */
  private scripted (outcome: Works.Outcome, terms: Senders.SendTerms): Works.Outcome {
    const reached = outcome.kind !== 'refused' || outcome.reason === 'target-shed' || outcome.reason === 'target-changed'
    return !reached || terms.confirm() ? outcome : Works.refused('too-late', 0)
  }

  send (_request: Requests.EntryRequest, registration: Registrations.Registration, terms: Senders.SendTerms): Senders.Sending {
    let end: (outcome: Works.Outcome) => void = () => { /* Set by the promise. */ }
    const outcome = new Promise<Works.Outcome>(resolve => { end = resolve })
    const sent: Sent = { target: registration.target, terms, withdrawn: false, confirmed: false, end }
    this.sent.push(sent)
    const scripted = this.script(registration.target, this.sent.length)
    if (scripted === undefined) this.silent(registration.target, this.sent.length, () => { sent.confirmed = terms.confirm() })
    else queueMicrotask(() => { end(this.scripted(scripted, terms)) })
    return {
      target: registration.target,
      outcome,
      isQueued: () => false,
      withdraw: () => {
        sent.withdrawn = true
        end(sent.confirmed ? { kind: 'withdrawn' } : Works.refused('too-late', 0))
      }
    }
  }
}
