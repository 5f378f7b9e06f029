/** `measure capacity`: growth of memory, messages and processor time with size, for docs/CAPACITY.md. */
import type * as Commander from 'commander'
import * as Slopes from '../capacity/slopes.js'

interface Options { readonly json?: boolean }

function describe (slope: Slopes.Slope): string {
  const points = slope.points.map(point => `${point.size}: ${point.value.toFixed(2)}`).join(', ')
  return `${slope.name}: ${slope.atTarget.toFixed(2)} ${slope.unit} at ${slope.target.toFixed(0)} (${slope.slope.toPrecision(3)} each, R² ${slope.rSquared.toFixed(3)}; ${points})`
}

function capacity (options: Options): void {
  const slopes = [...Slopes.nodes(), ...Slopes.exceptions(), Slopes.services(), Slopes.keys(), Slopes.requests()]
  const base = process.memoryUsage()
  process.stdout.write(options.json === true ? `${JSON.stringify({ slopes, base }, null, 2)}\n` : `${slopes.map(describe).join('\n')}\n`)
}

export function register (program: Commander.Command): void {
  program.command('capacity')
    .description('cost of one more node, target, exception, service, request')
    .option('--json', 'print JSON')
    .action(capacity)
}
