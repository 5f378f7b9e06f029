/** `jasminedale burn`: shows the burn rate of each service's error budget, added up over the given nodes. */
import * as fs from 'node:fs/promises'
import * as Decisions from '@jasminedale/decisions'
import type * as Commander from 'commander'
import * as NodeClient from '../node-client.js'
import * as Outputs from '../output.js'

interface Options {
  readonly node: readonly string[]
  readonly svg?: string
  readonly json?: boolean
}

async function burn (options: Options): Promise<void> {
  const answers = await Promise.all(options.node.map(node => NodeClient.get(node, '/.jasminedale/burn')))
  // The reports are not validated, because the nodes run the same version. A failure has been printed and has set the exit code.
  const reports = answers.filter(answer => answer !== undefined) as Decisions.BurnReports.Report[]
  if (reports.length === 0) return
  const merged = Decisions.BurnReports.merge(reports)
  if (options.svg !== undefined) await fs.writeFile(options.svg, Decisions.BurnSvg.renderSvg(merged))
  Outputs.print({ text: Decisions.BurnText.renderText(merged), json: merged }, options.json === true)
}

export function register (program: Commander.Command): void {
  program.command('burn')
    .description('show how fast each service spends its error budget, added up over the given nodes')
    .requiredOption('--node <address:port...>', 'nodes to ask; each reports the requests that entered the fleet there')
    .option('--svg <file>', 'also write the report as an SVG image')
    .option('--json', 'print JSON')
    .addHelpText('after', '\nExample:\n  jasminedale burn --node 10.0.0.7:7400 10.0.0.8:7400\n\nExit codes: 0 shown, 5 a node does not answer.')
    .action(burn)
}
