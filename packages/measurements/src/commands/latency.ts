/** `measure latency`: latency that a node adds to a direct call, measured over real sockets. */
import type * as Commander from 'commander'
import * as Runs from '../latency/run.js'

interface Options {
  readonly rate: string
  readonly seconds: string
  readonly json?: boolean
}

function describe (report: Runs.Report): string {
  const { rate, seconds, paths, nodes, targetMilliseconds } = report
  return [
    `${rate} requests/s on each path for ${seconds} s, GET with a response of 1 kB; target ${targetMilliseconds} ms added at p99`,
    ...paths.map(path => `${path.path}: p50 ${path.p50} ms, p99 ${path.p99} ms, added p50 ${path.addedP50} ms, p99 ${path.addedP99} ms, ratio at p99 ${path.ratioP99}, failed ${path.failed} of ${path.sent}`),
    ...nodes.map(node => `${node.node}: idle ${node.idle.processorPercent} % of a core and ${node.idle.residentMegabytes} MB, loaded ${node.loaded.processorPercent} % and ${node.loaded.residentMegabytes} MB`)
  ].join('\n')
}

async function latency (options: Options): Promise<void> {
  const report = await Runs.measure({ rate: Number(options.rate), seconds: Number(options.seconds) })
  process.stdout.write(options.json === true ? `${JSON.stringify(report, null, 2)}\n` : `${describe(report)}\n`)
  if (report.paths.some(path => path.failed > 0)) process.exitCode = 1
}

export function register (program: Commander.Command): void {
  program.command('latency')
    .description('added latency, processor time and memory of nodes on loopback')
    .option('--rate <number>', 'requests per second on each of the three paths', '200')
    .option('--seconds <number>', 'length of the loaded part', '15')
    .option('--json', 'print JSON')
    .action(latency)
}
