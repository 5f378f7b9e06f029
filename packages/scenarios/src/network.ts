/** Fake network between places: latency, one-way cuts and loss. */
import type * as Randoms from './randomness.js'
import type * as Scripts from './script.js'

/** Where a party stands. Cuts may name a node, a data center or a region. */
export interface Place { readonly node: string, readonly dataCenter: string, readonly region: string }

const SAME_DATA_CENTER_MS = 0.25
const DEFAULT_LATENCY: Scripts.LatencyStatement = { kind: 'latency', dataCenters: 1, regions: 8, clients: 3 }

function stands (place: Place, name: string): boolean {
  return place.node === name || place.dataCenter === name || place.region === name
}

export class Network {
  private cuts: Array<{ readonly from: string, readonly to: string }> = []
  private loss = 0

  constructor (private readonly random: Randoms.Randomness, private readonly latency: Scripts.LatencyStatement = DEFAULT_LATENCY) {}

  cut (from: string, to: string, both: boolean): void {
    this.cuts.push({ from, to })
    if (both) this.cuts.push({ from: to, to: from })
  }

  lose (fraction: number): void {
    this.loss = fraction
  }

  heal (): void {
    this.cuts = []
    this.loss = 0
  }

  /** Whether a stream's bytes pass; streams recover from loss. */
  open (from: Place, to: Place): boolean {
    return !this.cuts.some(cut => stands(from, cut.from) && stands(to, cut.to))
  }

  /** Whether one datagram arrives. */
  delivers (from: Place, to: Place): boolean {
    return this.open(from, to) && this.random.fraction() >= this.loss
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
