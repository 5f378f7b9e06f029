/** A sender whose outcomes a test decides. */
import type * as Decisions from '@jasminedale/decisions'
import type * as Registrations from '../../src/directory/registration.js'
import type * as Requests from '../../src/entry/request.js'
import type * as Senders from '../../src/entry/sender.js'
import type * as Works from '../../src/host/work.js'

export interface Sent {
  readonly target: Decisions.Ids.TargetId
  readonly terms: Senders.SendTerms
  withdrawn: boolean
  end (outcome: Works.Outcome): void
}

export class ScriptedSender {
  readonly sent: Sent[] = []

  /** `script` answers an attempt at once; undefined leaves it open. */
  constructor (private readonly script: (target: Decisions.Ids.TargetId, attempt: number) => Works.Outcome | undefined = () => undefined) {}

  send (_request: Requests.EntryRequest, registration: Registrations.Registration, terms: Senders.SendTerms): Senders.Sending {
    let end: (outcome: Works.Outcome) => void = () => { /* Set by the promise. */ }
    const outcome = new Promise<Works.Outcome>(resolve => { end = resolve })
    const sent: Sent = { target: registration.target, terms, withdrawn: false, end }
    this.sent.push(sent)
    const scripted = this.script(registration.target, this.sent.length)
    if (scripted !== undefined) end(scripted)
    return {
      target: registration.target,
      outcome,
      isQueued: () => false,
      withdraw: () => {
        sent.withdrawn = true
        end({ kind: 'withdrawn' })
      }
    }
  }
}
