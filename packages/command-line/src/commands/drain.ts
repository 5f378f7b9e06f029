/** `jasminedale drain TARGET`: takes a backend server out of service after its requests in flight have finished. */
import type * as Commander from 'commander'
import * as zod from 'zod'
import * as NodeClient from '../node-client.js'
import * as Outputs from '../output.js'

const reportSchema = zod.object({ abandoned: zod.number() })

async function drain (target: string, options: NodeClient.Options): Promise<void> {
  const answer = await NodeClient.post(options.node, '/.jasminedale/leave', { target })
  if (answer === undefined) return
  const { abandoned } = reportSchema.parse(answer)
  const text = abandoned === 0 ? `${target}: drained, no requests left` : `${target}: ${abandoned} requests were still in flight at the drain limit`
  Outputs.print({ text, json: answer }, options.json === true)
}

export function register (program: Commander.Command): void {
  program.command('drain')
    .description('drain one backend server; must run on its VM. To drain a node, send it SIGTERM')
    .argument('<target>')
    .requiredOption('--node <address:port>', 'node on the same VM')
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  jasminedale drain accounts-3 --node 10.0.0.7:7400\n\nExit codes: 0 drained, 5 the node does not answer or does not host the server.')
    .action(drain)
}
