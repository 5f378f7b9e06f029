/**
 * Compares direct calls with calls through the node on the VM of the backend server (`right`) and through another node
 * (`wrong`), which forwards them. All run as processes.
 */
import * as StandIns from '@jasminedale/stand-ins'
import * as Histograms from 'hdr-histogram-js'
import * as Undici from 'undici'
import * as Resources from './resources.js'

/** Requirement on added latency at p99; docs/design.md, section 1. */
const ADDED_LATENCY_TARGET_MS = 5.4
const MICROSECONDS_PER_MILLISECOND = 1_000
const MILLISECONDS_PER_SECOND = 1_000
const WARM_UP_SECONDS = 3
const IDLE_MS = 4_000
const RESPONSE_PADDING = 1_000
const CONNECTIONS = 64
const MEDIAN = 50
const TAIL = 99

export interface Plan {
  /** Requests per second on each path. */
  readonly rate: number
  readonly seconds: number
}

export interface PathReport {
  readonly path: string
  readonly sent: number
  readonly failed: number
  /** Milliseconds from sending to the end of the response. */
  readonly p50: number
  readonly p99: number
  readonly addedP50: number
  readonly addedP99: number
  readonly ratioP99: number
}

export interface Report extends Plan {
  readonly targetMilliseconds: number
  readonly paths: readonly PathReport[]
  readonly nodes: readonly Resources.NodeUse[]
}

class Path {
  readonly histogram = Histograms.build({ numberOfSignificantValueDigits: 3 })
  sent = 0
  failed = 0
  private readonly pool: Undici.Pool

  constructor (readonly name: string, address: string) {
    this.pool = new Undici.Pool(`http://${address}`, { connections: CONNECTIONS, pipelining: 1 })
  }

  async send (): Promise<void> {
    this.sent += 1
    const startedAt = performance.now()
    try {
      const response = await this.pool.request({ method: 'GET', path: '/accounts/1', headers: { 'stand-in-padding': String(RESPONSE_PADDING) } })
      const text = await response.body.text()
      if (response.statusCode !== 200 || text.length < RESPONSE_PADDING) this.failed += 1
      this.histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND))
    } catch {
      this.failed += 1
    }
  }

  reset (): void {
    this.histogram.reset()
    this.sent = 0
    this.failed = 0
  }

  percentile (value: number): number {
    return this.histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MILLISECOND
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

/** Sends open-loop load at a fixed rate. The paths are interleaved so that all are measured under the same conditions. */
async function load (paths: readonly Path[], rate: number, seconds: number): Promise<void> {
  const total = rate * seconds
  const startedAt = performance.now()
  const pending: Promise<void>[] = []
  for (let sent = 0; sent < total;) {
    const due = Math.min(total, Math.floor((performance.now() - startedAt) * rate / MILLISECONDS_PER_SECOND))
    for (; sent < due; sent += 1) for (const path of paths) pending.push(path.send())
    await new Promise(resolve => setTimeout(resolve, 1))
  }
  await Promise.all(pending)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

function reportOf (path: Path, direct: Path): PathReport {
  return {
    path: path.name,
    sent: path.sent,
    failed: path.failed,
    p50: round(path.percentile(MEDIAN)),
    p99: round(path.percentile(TAIL)),
    addedP50: round(path.percentile(MEDIAN) - direct.percentile(MEDIAN)),
    addedP99: round(path.percentile(TAIL) - direct.percentile(TAIL)),
    ratioP99: round(path.percentile(TAIL) / direct.percentile(TAIL))
  }
}

/** Runs the measurement. Stops every process that it starts before it returns. */
export async function measure (plan: Plan): Promise<Report> {
  const processes = new StandIns.FleetProcesses.FleetProcesses()
  try {
    const log = await processes.startStandIn(['log'])
    const place = { host: '127.0.0.1', dataCenter: 'burnaby-a', region: 'lower-mainland' }
    const right = await processes.startNode({ ...place, name: 'right' }, log.addresses[0] ?? '', [])
    const wrong = await processes.startNode({ ...place, name: 'wrong' }, log.addresses[0] ?? '', [right.address])
    const backend = await processes.startStandIn(['backend', '--target', 't1', '--service', 'accounts', '--node', `http://${right.address}`, '--slots', '400', '--service-time', '1'])
    const known = await StandIns.FleetProcesses.waitUntil(async () => JSON.stringify(await StandIns.FleetProcesses.getJson(wrong.address, '/.jasminedale/status')).includes('"t1"'))
    if (!known) throw new Error('node wrong did not learn of backend server t1 before the time-out')
    return await measureOn(plan, backend.addresses[0] ?? '', right.address, wrong.address)
  } finally {
    await processes.stop()
  }
}

async function measureOn (plan: Plan, backend: string, right: string, wrong: string): Promise<Report> {
  const direct = new Path('direct', backend)
  const paths = [direct, new Path('right node', right), new Path('wrong node', wrong)]
  const nodes = [new Resources.NodeMeter('right', right), new Resources.NodeMeter('wrong', wrong)]
  await Promise.all(nodes.map(node => node.during('idle', () => new Promise(resolve => setTimeout(resolve, IDLE_MS)))))
  await load(paths, plan.rate, WARM_UP_SECONDS)
  for (const path of paths) path.reset()
  const loaded = load(paths, plan.rate, plan.seconds)
  await Promise.all(nodes.map(node => node.during('loaded', () => loaded)))
  await Promise.all(paths.map(path => path.close()))
  return { ...plan, targetMilliseconds: ADDED_LATENCY_TARGET_MS, paths: paths.map(path => reportOf(path, direct)), nodes: nodes.map(node => node.report()) }
}
