/** Queue of updates to piggyback on messages. Each update is sent a limited number of times. */
import type * as Messages from './message.js'

/** When the queue is full, the update sent least recently is evicted, or else the oldest one. Synchronization delivers it later. */
const UPDATES_MAXIMUM = 4_096
const TRANSMISSIONS_MINIMUM = 4
const encoder = new TextEncoder()

interface QueuedUpdate {
  readonly update: Messages.Update
  readonly jsonBytes: number
  transmissionsLeft: number
}

/**
 * Number of times each node sends an update in a fleet of `nodeCount` nodes. Push gossip leaves a fraction of
 * about exp(-transmissions) of the nodes uninformed; periodic synchronization reaches these.
 */
export function transmissionLimit (nodeCount: number): number {
  return TRANSMISSIONS_MINIMUM + Math.ceil(Math.log10(nodeCount + 1))
}

export class BroadcastQueue {
  /** Updates that have not been sent yet; they take precedence over those that have. */
  private readonly unsent = new Map<string, QueuedUpdate>()
  private readonly alreadySent = new Map<string, QueuedUpdate>()

  get size (): number {
    return this.unsent.size + this.alreadySent.size
  }

  /** Queues an update for `transmissions` messages. It replaces a queued update with the same key. */
  enqueue (key: string, update: Messages.Update, transmissions: number): void {
    this.alreadySent.delete(key)
    this.unsent.delete(key)
    this.unsent.set(key, { update, jsonBytes: encoder.encode(JSON.stringify(update)).length + 1, transmissionsLeft: transmissions })
    if (this.size <= UPDATES_MAXIMUM) return
    const evictable = this.alreadySent.size > 0 ? this.alreadySent : this.unsent
    for (const oldest of evictable.keys()) {
      evictable.delete(oldest)
      break
    }
  }

  /** Selects the updates for one message, up to `maximumBytes` of JSON, and counts one transmission for each. */
  take (maximumBytes: number): Messages.Update[] {
    const taken: [string, QueuedUpdate][] = []
    let bytesLeft = maximumBytes
    for (const queue of [this.unsent, this.alreadySent]) {
      for (const [key, item] of queue) {
        if (item.jsonBytes > bytesLeft) continue
        bytesLeft -= item.jsonBytes
        taken.push([key, item])
      }
    }
    for (const [key, item] of taken) {
      this.unsent.delete(key)
      this.alreadySent.delete(key)
      item.transmissionsLeft -= 1
      if (item.transmissionsLeft > 0) this.alreadySent.set(key, item)
    }
    return taken.map(([, item]) => item.update)
  }
}
