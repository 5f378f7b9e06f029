/** Fake network with latency, one-way cuts and datagram loss. */
import type * as RandomGenerators from './random-generator.js'
import type * as Scripts from './script.js'

/** Location of a node or service. A cut names a node, a data center or a region. */
export interface Place { readonly node: string, readonly dataCenter: string, readonly region: string }

const SAME_DATA_CENTER_MS = 0.25
const DEFAULT_LATENCY: Scripts.LatencyStatement = { kind: 'latency', dataCenters: 1, regions: 8, clients: 3 }

function isWithin (place: Place, name: string): boolean {
  return place.node === name || place.dataCenter === name || place.region === name
}

export class Network {
  private cuts: Array<{ readonly from: string, readonly to: string }> = []
  private loss = 0

  constructor (private readonly random: RandomGenerators.RandomGenerator, private readonly latency: Scripts.LatencyStatement = DEFAULT_LATENCY) {}

  cut (from: string, to: string, both: boolean): void {
    this.cuts.push({ from, to })
    if (both) this.cuts.push({ from: to, to: from })
  }

  setLoss (fraction: number): void {
    this.loss = fraction
  }

  restore (): void {
    this.cuts = []
    this.loss = 0
  }

  /** Whether streams can pass. Loss does not affect them, since streams retransmit. */
  isOpen (from: Place, to: Place): boolean {
    return !this.cuts.some(cut => isWithin(from, cut.from) && isWithin(to, cut.to))
  }

  /** Decides at random whether one datagram arrives. */
  deliversDatagram (from: Place, to: Place): boolean {
    return this.isOpen(from, to) && this.random.fraction() >= this.loss
  }

  /** One-way delay in ms, with up to 20 % jitter. */
  delay (from: Place, to: Place): number {
    const base = from.region !== to.region ? this.latency.regions : from.dataCenter !== to.dataCenter ? this.latency.dataCenters : SAME_DATA_CENTER_MS
    return base * (1 + 0.2 * this.random.fraction())
  }

  clientDelay (): number {
    return this.latency.clients
  }
}
