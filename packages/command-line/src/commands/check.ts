/** `jasminedale check FILE…`: checks configuration files without publishing them. */
import * as fs from 'node:fs/promises'
import type * as Commander from 'commander'
import * as Configuration from '@jasminedale/configuration'
import * as ExitCodes from '../exit-code.js'
import * as Outputs from '../output.js'

interface Options { readonly json?: boolean, readonly process?: boolean }

interface Report {
  readonly file: string
  readonly failures: readonly Configuration.Failures.Failure[]
  readonly exceptions: number
}

async function checkFile (file: string, options: Options): Promise<Report> {
  const text = await fs.readFile(file, 'utf8').catch(() => undefined)
  if (text === undefined) {
    return { file, exceptions: 0, failures: [{ kind: 'syntax', file, line: 0, section: '', key: '', value: '', allowed: 'a readable file' }] }
  }
  if (options.process === true) {
    const settings = Configuration.ProcessSettings.parseProcessSettings(text, file)
    return { file, exceptions: 0, failures: settings.isErr() ? settings.error : [] }
  }
  return Configuration.FleetConfigurations.parseFleetConfiguration(text, file).match(
    fleet => ({ file, exceptions: fleet.exceptions.length, failures: [] }),
    failures => ({ file, exceptions: 0, failures })
  )
}

function describe ({ file, failures, exceptions }: Report): string {
  if (failures.length === 0) return `${file}: valid, ${exceptions} exceptions`
  return failures.map(Configuration.Failures.describe).join('\n')
}

async function check (files: readonly string[], options: Options): Promise<void> {
  const reports = await Promise.all(files.map(file => checkFile(file, options)))
  Outputs.print({ text: reports.map(describe).join('\n'), json: reports }, options.json === true)
  if (reports.some(({ failures }) => failures.length > 0)) process.exitCode = ExitCodes.EXIT_CODE.invalid
}

export function register (program: Commander.Command): void {
  program.command('check')
    .description('check fleet configuration files, or process settings with --process')
    .argument('<files...>', 'INI files')
    .option('--process', 'the files are settings of node processes')
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  jasminedale check examples/cinderfold.ini\n\nExit codes: 0 valid, 3 invalid.')
    .action(check)
}
