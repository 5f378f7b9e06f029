/** `jasminedale status`: shows the members and targets, the reasons for ejections, and stale data. */
import type * as Commander from 'commander'
import * as zod from 'zod'
import * as NodeClient from '../node-client.js'
import * as Outputs from '../output.js'

const statusSchema = zod.object({
  node: zod.string(),
  dataCenter: zod.string(),
  configuration: zod.object({ version: zod.number() }),
  stale: zod.array(zod.object({ part: zod.string(), since: zod.string() })),
  members: zod.array(zod.object({ node: zod.string(), dataCenter: zod.string(), state: zod.string(), configuration: zod.number() })),
  targets: zod.array(zod.object({
    target: zod.string(), service: zod.string(), host: zod.string(), state: zod.string(),
    standing: zod.object({ kind: zod.string(), since: zod.string().optional(), evidence: zod.string().optional() })
  }))
})

type Report = zod.infer<typeof statusSchema>

function describe (report: Report): string {
  const { node, dataCenter, configuration, stale, members, targets } = report
  return [
    `node ${node} in ${dataCenter}, configuration version ${configuration.version}`,
    ...(stale.length === 0 ? ['nothing is stale'] : stale.map(({ part, since }) => `stale: ${part} since ${since}`)),
    ...members.map(member => `member ${member.node} in ${member.dataCenter}: ${member.state}, configuration version ${member.configuration}`),
    ...targets.map(target => {
      const { kind, since, evidence } = target.standing
      const details = `${since === undefined ? '' : ` since ${since}`}${evidence === undefined ? '' : `: ${evidence}`}`
      return `target ${target.target} of ${target.service} on ${target.host}: ${target.state}, ${kind}${details}`
    })
  ].join('\n')
}

async function status (options: NodeClient.Options): Promise<void> {
  const answer = await NodeClient.get(options.node, '/.jasminedale/status')
  if (answer === undefined) return
  Outputs.print({ text: describe(statusSchema.parse(answer)), json: answer }, options.json === true)
}

export function register (program: Commander.Command): void {
  program.command('status')
    .description('show the members and targets, the reasons for ejections, and stale data')
    .requiredOption('--node <address:port>', 'node to ask')
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  jasminedale status --node 10.0.0.7:7400\n\nExit codes: 0 shown, 5 the node does not answer.')
    .action(status)
}
