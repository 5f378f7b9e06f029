/** Starts nodes and stand-ins as processes and ends them after the test. */
import * as Processes from 'node:child_process'
import Events from 'node:events'
import * as fs from 'node:fs/promises'
import * as Net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as StandIns from '@jasminedale/stand-ins'
import * as Undici from 'undici'

const PROGRAM = path.join(import.meta.dirname, '../src/main.ts')
const STAND_INS = path.join(import.meta.dirname, '../../stand-ins/src/main.ts')

export interface Process {
  readonly child: Processes.ChildProcess
  readonly address: string
  output (): string
}

interface Test { after: (end: () => unknown) => void }

function run (t: Test, program: string, parameters: readonly string[]): { child: Processes.ChildProcess, output: () => string } {
  const child = Processes.spawn(process.execPath, ['--conditions=jasminedale-source', '--import', 'tsx', program, ...parameters])
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  child.stderr.on('data', chunk => { output += String(chunk) })
  t.after(() => {
    child.kill('SIGCONT')
    child.kill('SIGKILL')
  })
  return { child, output: () => output }
}

export async function freePort (): Promise<number> {
  const server = Net.createServer().listen(0, '127.0.0.1')
  await Events.once(server, 'listening')
  const address = server.address()
  server.close()
  return typeof address === 'object' && address !== null ? address.port : 0
}

export async function startNode (t: Test, name: string, logService: string, seeds: readonly string[] = [], address?: string): Promise<Process> {
  const nodeAddress = address ?? `127.0.0.1:${await freePort()}`
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'jasminedale-'))
  const file = path.join(directory, 'node.ini')
  t.after(() => fs.rm(directory, { recursive: true }))
  await fs.writeFile(file, [
    '[node]', `id = ${name}`, `address = ${nodeAddress}`, 'data-center = burnaby-a', 'region = lower-mainland', `log-service = ${logService}`,
    ...(seeds.length === 0 ? [] : [`seeds = ${seeds.join(', ')}`])
  ].join('\n'))
  return { ...run(t, PROGRAM, ['node', file]), address: nodeAddress }
}

export async function startBackend (t: Test, target: string, node: string): Promise<Process> {
  const started = run(t, STAND_INS, ['backend', '--target', target, '--service', 'accounts', '--node', `http://${node}`, '--slots', '50'])
  await eventually(() => started.output().includes('\n'))
  return { ...started, address: started.output().trim() }
}

export async function startLog (t: Test): Promise<StandIns.LogServices.LogService> {
  const log = new StandIns.LogServices.LogService({ host: '127.0.0.1', port: 0 })
  await log.start()
  t.after(() => log.stop())
  return log
}

export async function readStatus (address: string): Promise<{ ready: boolean, targets: { target: string }[], stale: { part: string }[], members: { node: string, state: string }[] }> {
  const response = await Undici.request(`http://${address}/.jasminedale/status`, { signal: AbortSignal.timeout(2_000) })
  return await response.body.json() as Awaited<ReturnType<typeof readStatus>>
}

/** Polls until the condition holds without an error; fails after `timeoutMs`. */
export async function eventually (condition: () => boolean | Promise<boolean>, timeoutMs = 10_000): Promise<void> {
  const until = performance.now() + timeoutMs
  const holds = async (): Promise<boolean> => {
    try {
      return await condition()
    } catch {
      return false
    }
  }
  while (!await holds()) {
    if (performance.now() > until) throw new Error('the condition did not hold in time')
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}

export async function waitUntilReady (address: string, targets: number): Promise<void> {
  await eventually(async () => {
    const report = await readStatus(address)
    return report.ready && report.targets.length === targets
  })
}
