#!/usr/bin/env node
/** Command line that runs stand-ins as processes. */
import * as Commander from 'commander'
import * as BackendServers from './backend-server.js'
import * as LogServices from './log-service.js'

interface BackendOptions {
  readonly target: readonly string[]
  readonly service: string
  readonly host: string
  readonly port: string
  readonly node?: string
  readonly slots: string
  readonly serviceTime: string
}

interface LogOptions {
  readonly host: string
  readonly port: string
}

async function runBackend (options: BackendOptions): Promise<void> {
  const { service, host, node } = options
  const servers = options.target.map(target => new BackendServers.BackendServer({
    target, service, host, port: Number(options.port), slots: Number(options.slots), serviceTime: Number(options.serviceTime),
    ...(node === undefined ? {} : { node })
  }))
  await Promise.all(servers.map(server => server.start()))
  process.stdout.write(`${servers.map(server => server.address).join(' ')}\n`)
  process.once('SIGTERM', () => { void Promise.all(servers.map(server => server.drain())) })
}

async function runLog (options: LogOptions): Promise<void> {
  const service = new LogServices.LogService({ host: options.host, port: Number(options.port) })
  await service.start()
  process.stdout.write(`${service.url}\n`)
  process.once('SIGTERM', () => { void service.stop() })
}

const program = new Commander.Command('stand-ins').description('Stand-ins for tests, measurements and the demo')
program.command('backend')
  .description('run backend servers that announce themselves; inject faults with POST /stand-in/faults')
  .requiredOption('--target <ids...>', 'target ids; starts one backend server for each')
  .requiredOption('--service <name>')
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--port <number>', 'port to listen on; 0 selects a free port', '0')
  .option('--node <url>', 'base URL of the node on the same VM')
  .option('--slots <number>', 'number of concurrent requests', '4')
  .option('--service-time <ms>', 'service time of a request in milliseconds', '5')
  .action(runBackend)
program.command('log')
  .description('run the log service')
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--port <number>', 'port to listen on; 0 selects a free port', '0')
  .action(runLog)
await program.parseAsync(process.argv)
