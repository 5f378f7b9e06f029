/** `measure costs`: placement of requests of unequal cost by number, by work left, to idle targets and by size classes. */
import type * as Commander from 'commander'
import * as CostPlacements from '../cost-placement.js'

const BASE = { entries: 12, reportInterval: 300, longShare: 0.35, requests: 20_000 }
const NARROW = { ...BASE, targets: 6, slots: 8 }
const WIDE = { ...BASE, targets: 31, slots: 4 }
const CASES: Readonly<Record<string, Omit<CostPlacements.CostPlacementOptions, 'seed'>>> = {
  '6 targets, load 0.7': { ...NARROW, slowTargets: 0, slowness: 1, utilisation: 0.7 },
  '6 targets, load 0.9': { ...NARROW, slowTargets: 0, slowness: 1, utilisation: 0.9 },
  '6 targets, one 4 times slower, load 0.8': { ...NARROW, slowTargets: 1, slowness: 4, utilisation: 0.8 },
  '6 targets, one 12 times slower, load 0.8': { ...NARROW, slowTargets: 1, slowness: 12, utilisation: 0.8 },
  '31 targets, load 0.8': { ...WIDE, slowTargets: 0, slowness: 1, utilisation: 0.8 },
  '31 targets, four 8 times slower, load 0.8': { ...WIDE, slowTargets: 4, slowness: 8, utilisation: 0.8 },
  '6 targets, load 0.9, reports with responses only': { ...NARROW, slowTargets: 0, slowness: 1, utilisation: 0.9, reportInterval: 0 },
  '6 targets, one 12 times slower, load 0.8, reports with responses only': { ...NARROW, slowTargets: 1, slowness: 12, utilisation: 0.8, reportInterval: 0 },
  '31 targets, load 0.85, reports with responses only': { ...WIDE, slowTargets: 0, slowness: 1, utilisation: 0.85, reportInterval: 0 },
  '31 targets, four 8 times slower, load 0.8, reports with responses only': { ...WIDE, slowTargets: 4, slowness: 8, utilisation: 0.8, reportInterval: 0 }
}

export function register (program: Commander.Command): void {
  program.command('costs').description('placement of requests of unequal cost').option('--seed <number>', 'seed of the requests', '1').action((options: { readonly seed: string }) => {
    for (const [name, one] of Object.entries(CASES)) {
      process.stdout.write(`\n${name}\n| alternative | mean ms | short p99 | long p99 | late % | slow share |\n| --- | --- | --- | --- | --- | --- |\n`)
      for (const row of CostPlacements.costPlacement({ ...one, seed: Number(options.seed) })) {
        process.stdout.write(`| ${row.alternative} | ${row.mean.toFixed(0)} | ${row.short99.toFixed(0)} | ${row.long99.toFixed(0)} | ${(100 * row.late).toFixed(1)} | ${row.slowShare.toFixed(2)} |\n`)
      }
    }
  })
}
