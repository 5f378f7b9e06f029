/** `jasminedale drive`: runs the decision library for another program, with one JSON object per line of input and output. */
import * as Readline from 'node:readline'
import * as Configuration from '@jasminedale/configuration'
import * as Decisions from '@jasminedale/decisions'
import type * as Commander from 'commander'
import * as zod from 'zod'
import * as ExitCodes from '../exit-code.js'

const identitySchema = zod.object({
  node: zod.string().transform(Decisions.Ids.nodeId),
  address: zod.string().transform(Decisions.Ids.endpoint),
  dataCenter: zod.string().transform(Decisions.Ids.dataCenter),
  region: zod.string().transform(Decisions.Ids.region),
  incarnation: zod.number().transform(Decisions.Ids.incarnation),
  seeds: zod.array(zod.string().transform(Decisions.Ids.endpoint))
})

/** `configuration` is the text of a fleet configuration; by default the built-in defaults apply. */
const startSchema = zod.object({ identity: identitySchema, configuration: zod.string().optional(), seed: zod.int() })
/** Only the envelope of events is checked; the calling program is responsible for their content. */
const stepSchema = zod.object({
  now: zod.number().transform(Decisions.Clock.milliseconds),
  events: zod.array(zod.custom<Decisions.Events.ExternalEvent>(value => typeof value === 'object' && value !== null && 'kind' in value))
})

type Failure = { readonly kind: 'line-malformed', readonly line: number, readonly detail: string }

function createEngine (json: unknown): Decisions.Engines.Engine {
  const { identity, configuration, seed } = startSchema.parse(json)
  const engine = new Decisions.Engines.Engine({ identity, seed, parseConfiguration: Configuration.FleetConfigurations.parseConfiguration })
  if (configuration === undefined) return engine
  const parsed = Configuration.FleetConfigurations.parseConfiguration(configuration, Decisions.Ids.version(1), 'drive')
  if (parsed.isErr()) throw new Error(parsed.error.map(Configuration.Failures.describe).join('; '))
  engine.board.configuration.current = parsed.value
  return engine
}

function printFailure (failure: Failure): void {
  process.stderr.write(`${JSON.stringify(failure)}\n`)
  process.exitCode = ExitCodes.EXIT_CODE.invalid
}

async function drive (): Promise<void> {
  let engine: Decisions.Engines.Engine | undefined
  let line = 0
  for await (const text of Readline.createInterface({ input: process.stdin })) {
    line += 1
    try {
      const json: unknown = JSON.parse(text)
      if (engine === undefined) {
        engine = createEngine(json)
        continue
      }
      const { now, events } = stepSchema.parse(json)
      process.stdout.write(`${JSON.stringify(engine.step(now, events))}\n`)
    } catch (error) {
      printFailure({ kind: 'line-malformed', line, detail: error instanceof Error ? error.message : String(error) })
      return
    }
  }
}

export function register (program: Commander.Command): void {
  program.command('drive')
    .description('run the decision library on events from standard input')
    .addHelpText('after', '\nFirst line: {"identity":{…},"configuration":"INI text","seed":1}\nThen: {"now":1000,"events":[{"kind":"tick"}]}, one line of commands each.\n\nExit codes: 0 end of input, 3 a line is malformed.')
    .action(drive)
}
