/** Samples the state of the fleet every 100 ms of virtual time. */
import type * as Fleets from './fleet.js'

export interface Sample {
  readonly at: number
  readonly ejected: ReadonlySet<string>
  /** Lowest configuration version among the running nodes that have a configuration. */
  readonly lowestVersion: number
}

const INTERVAL_MS = 100

export function record (fleet: Fleets.Fleet): readonly Sample[] {
  const samples: Sample[] = []
  const takeSample = (): void => {
    samples.push(sample(fleet))
    fleet.timeline.after(INTERVAL_MS, takeSample)
  }
  takeSample()
  return samples
}

function sample (fleet: Fleets.Fleet): Sample {
  const running = [...fleet.nodes.values()].filter(node => node.state === 'up')
  const ejected = running.flatMap(node => [...node.engine.board.ejections.local]
    .filter(([, standing]) => standing.kind === 'ejected')
    .map(([target]) => target))
  const lowestVersion = Math.min(...running
    .map(node => node.engine.board.configuration)
    .filter(configuration => configuration.isInitialized)
    .map(configuration => configuration.current.version))
  return { at: fleet.timeline.elapsed(), ejected: new Set(ejected), lowestVersion }
}
