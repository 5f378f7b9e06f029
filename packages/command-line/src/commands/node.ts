/** `jasminedale node FILE`: runs one node until SIGTERM or SIGINT. */
import * as fs from 'node:fs/promises'
import * as Configuration from '@jasminedale/configuration'
import * as Node from '@jasminedale/node'
import type * as Commander from 'commander'
import * as ExitCodes from '../exit-code.js'

function fail (message: string, code: number): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = code
}

function describe (failure: Node.Daemons.StartFailure): string {
  switch (failure.kind) {
    case 'address-in-use': return `address-in-use: another process listens on ${failure.address}`
    case 'address-unavailable': return `address-unavailable: cannot listen on ${failure.address} (${failure.code})`
  }
}

/** Drains on the first signal. Further signals are ignored; the drain limit bounds the drain. */
function stopOnSignal (daemon: Node.Daemons.Daemon): void {
  let isStopping = false
  const stop = (): void => {
    if (isStopping) return
    isStopping = true
    void daemon.stop().then(() => process.exit(ExitCodes.EXIT_CODE.success))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

async function run (file: string): Promise<void> {
  const text = await fs.readFile(file, 'utf8').catch(() => undefined)
  if (text === undefined) {
    fail(`${file}: cannot be read`, ExitCodes.EXIT_CODE.invalid)
    return
  }
  const settings = Configuration.ProcessSettings.parseProcessSettings(text, file)
  if (settings.isErr()) {
    fail(settings.error.map(Configuration.Failures.describe).join('\n'), ExitCodes.EXIT_CODE.invalid)
    return
  }
  Node.Loggers.writeLogsToStandardError(settings.value.logLevel)
  const started = await Node.Daemons.Daemon.start(settings.value)
  started.match(stopOnSignal, failure => {
    fail(describe(failure), failure.kind === 'address-in-use' ? ExitCodes.EXIT_CODE.addressInUse : ExitCodes.EXIT_CODE.unavailable)
  })
}

export function register (program: Commander.Command): void {
  program.command('node')
    .description('run one node until SIGTERM, which drains it')
    .argument('<file>', 'INI file with the settings of this process')
    .addHelpText('after', '\nExample:\n  jasminedale node /run/jasminedale/node.ini\n\nExit codes: 0 drained and stopped, 3 settings invalid, 5 address unavailable, 7 address in use.')
    .action(run)
}
