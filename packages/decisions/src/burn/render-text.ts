/** Renders the burn report as plain text. */
import type * as HeavyHitters from './heavy-hitters.js'
import type * as Reports from './report.js'

const COLUMNS = ['window', 'good', 'slow', 'failed', 'refused', 'burn rate'] as const
const COLUMN_WIDTH = 10
const PERCENT = 100

export function renderText (report: Reports.Report): string {
  const heading = `Burn report of ${report.nodes.length} node(s) at ${new Date(report.at).toISOString()}`
  if (report.services.length === 0) return `${heading}\nNo requests were counted.\n`
  return [heading, ...report.services.flatMap(service => ['', ...serviceLines(service)]), ''].join('\n')
}

function serviceLines (service: Reports.ServiceReport): readonly string[] {
  const objective = `${Number((service.availabilityObjective * PERCENT).toFixed(4))} % within ${service.latencyObjective} ms`
  return [
    `${service.service}: objective ${objective}`,
    row(COLUMNS),
    ...service.windows.map(windowReport => row([windowReport.window, windowReport.good, windowReport.slow, windowReport.failed, windowReport.refused, windowReport.burnRate.toFixed(2)])),
    ...ranking('targets', service.targets),
    ...ranking('causes', service.causes)
  ]
}

function row (cells: ReadonlyArray<string | number>): string {
  const [first = '', ...rest] = cells.map(String)
  return `  ${first.padEnd(COLUMN_WIDTH)}${rest.map(cell => cell.padStart(COLUMN_WIDTH)).join('')}`
}

function ranking (title: string, entries: ReadonlyArray<HeavyHitters.NameCount<string>>): readonly string[] {
  return entries.length === 0 ? [] : [`  bad requests by ${title}: ${entries.map(({ name, count }) => `${name} ${count}`).join(', ')}`]
}
