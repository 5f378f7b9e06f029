/** Renders the burn report as a standalone SVG image with a bar for each window of each service, on a logarithmic scale. */
import type * as Reports from './report.js'

const WIDTH = 760
const MARGIN = 20
const HEADING_HEIGHT = 40
const SERVICE_HEADING_HEIGHT = 22
const BAR_HEIGHT = 14
const BAR_GAP = 4
const SERVICE_GAP = 34
const BAR_LEFT = 90
const BAR_WIDTH = 480
/** Burn rates at the left and right end of the scale. */
const SCALE_MINIMUM = 0.1
const SCALE_MAXIMUM = 1_000
/** Burn rates from which a bar has the color of a warning or an alarm. At 14.4 a 30-day budget is spent in about 2 days. */
const WARNING_BURN_RATE = 1
const ALARM_BURN_RATE = 14.4
const COLORS = { normal: '#3a7d44', warning: '#d98e04', alarm: '#b3261e', text: '#222222', line: '#999999' } as const

export function renderSvg (report: Reports.Report): string {
  const blocks: string[] = []
  let top = HEADING_HEIGHT
  for (const service of report.services) {
    blocks.push(serviceBlock(service, top))
    top += SERVICE_HEADING_HEIGHT + service.windows.length * (BAR_HEIGHT + BAR_GAP) + SERVICE_GAP
  }
  const height = top + MARGIN
  const title = `Burn rates of ${report.services.length} service(s), ${report.nodes.length} node(s), ${new Date(report.at).toISOString()}`
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" viewBox="0 0 ${WIDTH} ${height}" font-family="sans-serif" font-size="12">`,
    `<title>${escaped(title)}</title>`,
    `<rect width="${WIDTH}" height="${height}" fill="#ffffff"/>`,
    text(MARGIN, HEADING_HEIGHT / 2, title, 'bold'),
    ...blocks,
    '</svg>',
    ''
  ].join('\n')
}

function serviceBlock (service: Reports.ServiceReport, top: number): string {
  const bars = service.windows.map((windowReport, index) => bar(windowReport, top + SERVICE_HEADING_HEIGHT + index * (BAR_HEIGHT + BAR_GAP)))
  const bottom = top + SERVICE_HEADING_HEIGHT + service.windows.length * (BAR_HEIGHT + BAR_GAP)
  const warningLineX = BAR_LEFT + scaledWidth(WARNING_BURN_RATE)
  const worst = service.targets.slice(0, 3).map(({ name, count }) => `${name} ${count}`).join(', ')
  return [
    text(MARGIN, top + BAR_HEIGHT, service.service, 'bold'),
    ...bars,
    `<line x1="${warningLineX}" y1="${top + SERVICE_HEADING_HEIGHT - BAR_GAP}" x2="${warningLineX}" y2="${bottom}" stroke="${COLORS.line}" stroke-dasharray="3 2"/>`,
    ...(worst === '' ? [] : [text(BAR_LEFT, bottom + BAR_HEIGHT, `bad requests by target: ${worst}`)])
  ].join('\n')
}

function bar (windowReport: Reports.WindowReport, top: number): string {
  const width = scaledWidth(windowReport.burnRate)
  const baseline = top + BAR_HEIGHT - 2
  return [
    text(MARGIN, baseline, windowReport.window),
    `<rect x="${BAR_LEFT}" y="${top}" width="${width}" height="${BAR_HEIGHT}" fill="${color(windowReport.burnRate)}"/>`,
    text(BAR_LEFT + BAR_WIDTH + MARGIN, baseline, `${windowReport.burnRate.toFixed(2)} (${windowReport.good} good)`)
  ].join('\n')
}

/** Width in pixels from the left end of the scale, rounded so that equal reports give equal images. */
function scaledWidth (rate: number): number {
  if (rate <= SCALE_MINIMUM) return 0
  const fraction = Math.log(Math.min(rate, SCALE_MAXIMUM) / SCALE_MINIMUM) / Math.log(SCALE_MAXIMUM / SCALE_MINIMUM)
  return Math.round(fraction * BAR_WIDTH)
}

function color (rate: number): string {
  if (rate >= ALARM_BURN_RATE) return COLORS.alarm
  return rate >= WARNING_BURN_RATE ? COLORS.warning : COLORS.normal
}

function text (x: number, y: number, content: string, weight = 'normal'): string {
  return `<text x="${x}" y="${y}" fill="${COLORS.text}" font-weight="${weight}">${escaped(content)}</text>`
}

function escaped (content: string): string {
  return content.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}
