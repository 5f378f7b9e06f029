/** Processor time and memory of a node, from its status report. */
import * as StandIns from '@jasminedale/stand-ins'

const BYTES_PER_MEGABYTE = 1_000_000
const MICROSECONDS_PER_MILLISECOND = 1_000
const PERCENT = 100

export interface Use {
  readonly processorPercent: number
  readonly residentMegabytes: number
}

export interface NodeUse {
  readonly node: string
  readonly idle: Use
  readonly loaded: Use
}

interface Reading {
  readonly at: number
  readonly processorMicroseconds: number
  readonly residentBytes: number
}

const NOT_MEASURED: Use = { processorPercent: Number.NaN, residentMegabytes: Number.NaN }

export class NodeMeter {
  private readonly uses = new Map<'idle' | 'loaded', Use>()

  constructor (private readonly node: string, private readonly address: string) {}

  async during (phase: 'idle' | 'loaded', work: () => Promise<void>): Promise<void> {
    const before = await this.read()
    await work()
    const after = await this.read()
    const share = (after.processorMicroseconds - before.processorMicroseconds) / MICROSECONDS_PER_MILLISECOND / (after.at - before.at)
    this.uses.set(phase, {
      processorPercent: Math.round(share * PERCENT * 10) / 10,
      residentMegabytes: Math.round(after.residentBytes / BYTES_PER_MEGABYTE)
    })
  }

  report (): NodeUse {
    return { node: this.node, idle: this.uses.get('idle') ?? NOT_MEASURED, loaded: this.uses.get('loaded') ?? NOT_MEASURED }
  }

  private async read (): Promise<Reading> {
    const status = await StandIns.FleetProcesses.getJson(this.address, '/.jasminedale/status') as { process: Omit<Reading, 'at'> }
    return { at: performance.now(), ...status.process }
  }
}
