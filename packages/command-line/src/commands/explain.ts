/** `jasminedale explain TARGET`: shows the state of a backend server and the decisions about it. */
import type * as Commander from 'commander'
import * as zod from 'zod'
import * as NodeClient from '../node-client.js'
import * as Outputs from '../output.js'

const explainSchema = zod.object({
  target: zod.string(),
  state: zod.string(),
  host: zod.string().optional(),
  standing: zod.object({ kind: zod.string(), since: zod.string().optional(), evidence: zod.string().optional() }).optional(),
  decisions: zod.array(zod.object({ at: zod.string(), controller: zod.string(), decision: zod.string(), evidence: zod.string() }))
})

type Report = zod.infer<typeof explainSchema>

function describe ({ target, state, host, standing, decisions }: Report): string {
  const hostText = host === undefined ? '' : ` on node ${host}`
  const standingText = standing === undefined ? '' : `, ${standing.kind}${standing.since === undefined ? '' : ` since ${standing.since}`}`
  return [
    `${target}${hostText}: ${state}${standingText}`,
    ...(standing?.evidence === undefined ? [] : [`evidence: ${standing.evidence}`]),
    ...decisions.map(entry => `${entry.at} ${entry.controller}: ${entry.decision} (${entry.evidence})`)
  ].join('\n')
}

async function explain (target: string, options: NodeClient.Options): Promise<void> {
  const answer = await NodeClient.get(options.node, `/.jasminedale/explain?target=${encodeURIComponent(target)}`)
  if (answer === undefined) return
  Outputs.print({ text: describe(explainSchema.parse(answer)), json: answer }, options.json === true)
}

export function register (program: Commander.Command): void {
  program.command('explain')
    .description('show the decisions about one backend server and their evidence; ask the node that hosts it')
    .argument('<target>')
    .requiredOption('--node <address:port>', 'node to ask')
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  jasminedale explain accounts-3 --node 10.0.0.7:7400\n\nExit codes: 0 shown, 5 the node does not answer or does not know the server.')
    .action(explain)
}
