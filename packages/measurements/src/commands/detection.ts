/** `measure detection`: detection times and false ejections of the three deciders. */
import type * as Commander from 'commander'
import * as Reports from '../detection/report.js'

const DEFAULT_SEEDS = '100'
const DEFAULT_DAYS = '7'

export function register (program: Commander.Command): void {
  program.command('detection')
    .description('detection times and false ejections of the three deciders')
    .option('--json', 'print JSON instead of tables')
    .option('--seeds <count>', 'runs of each fault', DEFAULT_SEEDS)
    .option('--days <count>', 'days of healthy noise', DEFAULT_DAYS)
    .action((options: { readonly json?: boolean, readonly seeds: string, readonly days: string }) => {
      const report = Reports.detection({ seeds: Number(options.seeds), days: Number(options.days) })
      process.stdout.write(`${options.json === true ? JSON.stringify(report, null, 2) : Reports.table(report)}\n`)
    })
}
