/** Runs nodes and stand-ins as processes from the built packages, for measurements and the demo. */
import * as Processes from 'node:child_process'
import * as fs from 'node:fs/promises'
import * as Net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as Undici from 'undici'

const PACKAGES = path.join(import.meta.dirname, '../..')
const START_TIMEOUT_MS = 10_000
const STOP_TIMEOUT_MS = 8_000
const POLL_INTERVAL_MS = 50

export interface NodePlace {
  readonly name: string
  readonly host: string
  readonly dataCenter: string
  readonly region: string
}

export interface RunningProcess {
  readonly child: Processes.ChildProcess
  readonly output: () => string
}

export interface RunningNode extends RunningProcess {
  readonly address: string
}

/** Returns a TCP port that is currently free on the address. */
export async function freePort (host: string): Promise<number> {
  return await new Promise((resolve, reject) => {
    const server = Net.createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const address = server.address()
      server.close(() => { resolve(typeof address === 'object' && address !== null ? address.port : 0) })
    })
  })
}

/** Polls until the condition holds; a rejection counts as false. Returns false after `timeout` ms. */
export async function waitUntil (condition: () => Promise<boolean>, timeout = START_TIMEOUT_MS): Promise<boolean> {
  const until = performance.now() + timeout
  while (performance.now() < until) {
    if (await condition().catch(() => false)) return true
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  return false
}

export async function getJson (address: string, target: string): Promise<unknown> {
  const { body } = await Undici.request(`http://${address}${target}`, { signal: AbortSignal.timeout(2_000) })
  return await body.json()
}

/** The processes of one run; `stop` ends every one of them. */
export class FleetProcesses {
  private readonly running: RunningProcess[] = []
  private directory: string | undefined

  /** Starts a program of the built packages, such as `command-line/dist/main.js`. */
  start (program: string, parameters: readonly string[]): RunningProcess {
    const child = Processes.spawn(process.execPath, [path.join(PACKAGES, program), ...parameters])
    let output = ''
    child.stdout.on('data', chunk => { output += String(chunk) })
    child.stderr.on('data', chunk => { output += String(chunk) })
    const started = { child, output: () => output }
    this.running.push(started)
    return started
  }

  async startNode (place: NodePlace, logService: string, seeds: readonly string[]): Promise<RunningNode> {
    this.directory ??= await fs.mkdtemp(path.join(os.tmpdir(), 'jasminedale-'))
    const address = `${place.host}:${await freePort(place.host)}`
    const file = path.join(this.directory, `${place.name}.ini`)
    const seedLine = seeds.length === 0 ? [] : [`seeds = ${seeds.join(', ')}`]
    await fs.writeFile(file, ['[node]', `id = ${place.name}`, `address = ${address}`, `data-center = ${place.dataCenter}`,
      `region = ${place.region}`, `log-service = ${logService}`, 'log-level = warn', ...seedLine].join('\n'))
    const started = { ...this.start('command-line/dist/main.js', ['node', file]), address }
    const ready = await waitUntil(async () => (await getJson(address, '/.jasminedale/status') as { ready: boolean }).ready)
    if (!ready) throw new Error(`node ${place.name} did not start: ${started.output()}`)
    return started
  }

  /** Starts stand-ins and returns the addresses that they print on startup. */
  async startStandIn (parameters: readonly string[]): Promise<RunningProcess & { readonly addresses: readonly string[] }> {
    const started = this.start('stand-ins/dist/main.js', parameters)
    const ready = await waitUntil(() => Promise.resolve(started.output().includes('\n')))
    if (!ready) throw new Error(`stand-in ${parameters.join(' ')} did not start: ${started.output()}`)
    return { ...started, addresses: started.output().trim().split(' ') }
  }

  /** Stops all processes by SIGTERM, or by SIGKILL after `STOP_TIMEOUT_MS`. Returns how many were killed by SIGKILL. */
  async stop (): Promise<number> {
    const endings = this.running.map(({ child }) => this.end(child))
    const killed = (await Promise.all(endings)).filter(graceful => !graceful).length
    if (this.directory !== undefined) await fs.rm(this.directory, { recursive: true })
    return killed
  }

  private async end (child: Processes.ChildProcess): Promise<boolean> {
    if (child.exitCode !== null || child.signalCode !== null) return true
    return await new Promise(resolve => {
      const timer = setTimeout(() => {
        child.kill('SIGKILL')
        resolve(false)
      }, STOP_TIMEOUT_MS)
      child.once('exit', () => {
        clearTimeout(timer)
        resolve(true)
      })
      child.kill('SIGTERM')
    })
  }
}
