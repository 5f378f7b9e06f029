/** `jasminedale publish FILE`: publishes a configuration as the next version and waits until it is in force. */
import * as fs from 'node:fs/promises'
import * as Commander from 'commander'
import * as Configuration from '@jasminedale/configuration'
import * as ExitCodes from '../exit-code.js'
import * as InForce from '../in-force.js'
import * as Outputs from '../output.js'
import * as Publications from '../publication.js'

interface Options {
  readonly log: string
  readonly node: string
  readonly base?: number
  readonly wait: number
  readonly json?: boolean
}

const DEFAULT_WAIT_SECONDS = 10
const MILLISECONDS_PER_SECOND = 1_000

function wholeNumber (text: string): number {
  if (!/^\d+$/.test(text)) throw new Commander.InvalidArgumentError('Expected a whole number.')
  return Number(text)
}

function describe (failure: Publications.PublicationFailure): string {
  switch (failure.kind) {
    case 'configuration-invalid': return failure.failures.map(Configuration.Failures.describe).join('\n')
    case 'publication-conflict': {
      const changes = failure.changes.map(({ section, field, before, after }) => `  [${section}] ${field}: yours ${before ?? 'absent'}, theirs ${after ?? 'absent'}`)
      return [`not published: version ${failure.version} is another publication (${failure.publication}); it differs from yours in:`, ...changes].join('\n')
    }
    case 'log-unavailable': {
      const advice = failure.mayBeWritten ? 'it may have been published; repeat the same command to find out' : 'nothing was published'
      return `log service: ${failure.detail}; ${advice}`
    }
  }
}

function exitCode (failure: Publications.PublicationFailure): number {
  switch (failure.kind) {
    case 'configuration-invalid': return ExitCodes.EXIT_CODE.invalid
    case 'publication-conflict': return ExitCodes.EXIT_CODE.conflict
    case 'log-unavailable': return ExitCodes.EXIT_CODE.unavailable
  }
}

async function publish (file: string, options: Options): Promise<void> {
  const text = await fs.readFile(file, 'utf8')
  const { base, log, json = false } = options
  const result = await Publications.publish({ text, file, logService: log, ...(base === undefined ? {} : { base }) })
  if (result.isErr()) {
    Outputs.print({ text: describe(result.error), json: result.error }, json)
    process.exitCode = exitCode(result.error)
    return
  }
  const published = result.value
  const progress = await InForce.waitUntilInForce(options.node, published.version, options.wait * MILLISECONDS_PER_SECOND)
  const inForce = progress?.waitingFor.length === 0
  const state = inForce ? `in force on all ${progress.members} nodes` : `accepted, not yet seen in force on: ${progress?.waitingFor.join(', ') ?? `any node (${options.node} does not answer)`}`
  Outputs.print({ text: `version ${published.version}: ${state}`, json: { ...published, inForce, ...progress } }, json)
  if (!inForce) process.exitCode = ExitCodes.EXIT_CODE.pending
}

export function register (program: Commander.Command): void {
  program.command('publish')
    .description('publish a fleet configuration as the next version')
    .argument('<file>', 'INI file')
    .requiredOption('--log <url>', 'log service, such as http://10.0.0.2:7300')
    .requiredOption('--node <address>', 'any node, such as 10.0.0.7:7400')
    .option('--base <version>', 'version that the file is based on; refused when another publication already follows it', wholeNumber)
    .option('--wait <seconds>', 'time to wait until the version is in force', wholeNumber, DEFAULT_WAIT_SECONDS)
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  jasminedale publish fleet.ini --base 41 --log http://10.0.0.2:7300 --node 10.0.0.7:7400\n\n' +
    'The command can be repeated: the same file on the same base is published once.\n' +
    'Exit codes: 0 in force, 3 invalid, 4 conflict, 5 log service unavailable, 6 accepted but not yet seen in force everywhere.')
    .action(publish)
}
