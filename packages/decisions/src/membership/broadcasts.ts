/** Updates waiting to be piggybacked, each sent a bounded number of times. */
import type * as Messages from './message.js'

/** Updates kept; beyond this the ones sent most often are dropped and left to synchronization. */
const QUEUE_LIMIT = 4_096
const BASE_TRANSMISSIONS = 4
const encoder = new TextEncoder()

interface Broadcast {
  readonly update: Messages.Update
  readonly bytes: number
  left: number
}

/**
 * Transmissions of one update in a fleet of `nodes`. Random push reaches all but exp(-transmissions)
 * of the nodes; periodic synchronization reaches the rest.
 */
export function transmissions (nodes: number): number {
  return BASE_TRANSMISSIONS + Math.ceil(Math.log10(nodes + 1))
}

export class Broadcasts {
  /** Never sent yet; these go first. */
  private readonly fresh = new Map<string, Broadcast>()
  private readonly repeated = new Map<string, Broadcast>()

  get size (): number {
    return this.fresh.size + this.repeated.size
  }

  /** Queues an update; an older one with the same key is replaced. */
  put (key: string, update: Messages.Update, times: number): void {
    this.repeated.delete(key)
    this.fresh.delete(key)
    this.fresh.set(key, { update, bytes: encoder.encode(JSON.stringify(update)).length + 1, left: times })
    if (this.size <= QUEUE_LIMIT) return
    const victims = this.repeated.size > 0 ? this.repeated : this.fresh
    for (const victim of victims.keys()) {
      victims.delete(victim)
      break
    }
  }

  /** Takes updates of at most `budget` bytes of JSON for one message. */
  take (budget: number): Messages.Update[] {
    const taken: [string, Broadcast][] = []
    let room = budget
    for (const queue of [this.fresh, this.repeated]) {
      for (const [key, item] of queue) {
        if (item.bytes > room) continue
        room -= item.bytes
        taken.push([key, item])
      }
    }
    for (const [key, item] of taken) {
      this.fresh.delete(key)
      this.repeated.delete(key)
      item.left -= 1
      if (item.left > 0) this.repeated.set(key, item)
    }
    return taken.map(([, item]) => item.update)
  }
}
