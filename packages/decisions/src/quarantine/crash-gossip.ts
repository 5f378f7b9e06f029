/** Gossips facts about crashes to random nodes. Each node forwards each fact a bounded number of times. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Messages from './message.js'

const FANOUT = 2
/** Rounds in which a fact is sent, in addition to log2 of the number of nodes. */
const EXTRA_ROUNDS = 3
const ROUND_INTERVAL = Clock.milliseconds(200)
const FACTS_PER_MESSAGE = 6
const FACTS_QUEUED = 500

export class CrashGossip {
  private queue: { readonly fact: Messages.CrashFact, remainingRounds: number }[] = []
  private nextRoundAt = 0

  add (fact: Messages.CrashFact, context: Controllers.StepContext): void {
    const rounds = Math.ceil(Math.log2(context.board.members.byNode.size + 1)) + EXTRA_ROUNDS
    this.queue.push({ fact, remainingRounds: rounds })
    if (this.queue.length > FACTS_QUEUED) this.queue.shift()
  }

  tick (context: Controllers.StepContext): void {
    // A round that is due later than after one interval means that the clock was set back.
    if (this.queue.length === 0 || (context.now < this.nextRoundAt && this.nextRoundAt - context.now <= ROUND_INTERVAL)) return
    this.nextRoundAt = context.now + ROUND_INTERVAL
    const members = context.board.members.usable().filter(member => member.node !== context.board.identity.node)
    const batch = this.queue.slice(0, FACTS_PER_MESSAGE)
    for (const entry of batch) entry.remainingRounds -= 1
    // Facts are sent in rotation, so that a burst does not delay the last ones.
    this.queue = [...this.queue.slice(batch.length), ...batch.filter(entry => entry.remainingRounds > 0)]
    const message: Messages.QuarantineMessage = { kind: 'crash-rumors', whole: false, rumors: batch.map(entry => entry.fact) }
    for (let count = 0; count < FANOUT; count += 1) {
      const member = context.random.pick(members)
      if (member !== undefined) context.emit({ kind: 'send', to: member.node, address: member.address, channel: 'datagram', message })
    }
  }
}
