/** Syntax tree of the scenario language, as the grammar produces it. Times are in ms of virtual time. */

export type Fault =
  | { readonly kind: 'slow', readonly factor: number }
  | { readonly kind: 'errors', readonly fraction: number }
  | { readonly kind: 'hang' | 'truncate' | 'shed' | 'fails-probes' | 'silent-connections' | 'crash' | 'leave' | 'healthy' }

export type Action =
  | { readonly kind: 'server', readonly server: string, readonly fault: Fault }
  | { readonly kind: 'service', readonly service: string, readonly fault: Fault }
  | { readonly kind: 'node', readonly node: string, readonly deed: NodeAction }
  | { readonly kind: 'data-center', readonly name: string, readonly deed: 'kill' | 'restart' }
  /** Drops traffic from a region, data center or node to another; with `both`, in both directions. */
  | { readonly kind: 'cut', readonly from: string, readonly to: string, readonly both: boolean }
  | { readonly kind: 'loss', readonly fraction: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'log', readonly state: LogState }
  | { readonly kind: 'publish', readonly name: string, readonly base: number, readonly key: string, readonly value: string }

export type NodeAction = 'kill' | 'pause' | 'resume' | 'restart' | 'drain'
export type LogState = 'up' | 'down' | 'loses-replies'

export interface Window { readonly from: number, readonly until: number }

export type Expectation =
  | { readonly kind: 'at-most-once' | 'honest-refusals' | 'whole-answers' | 'no-ejections' }
  | { readonly kind: 'ejected', readonly server: string } & Window
  | { readonly kind: 'in-service', readonly server: string, readonly time: number }
  | { readonly kind: 'floor', readonly service: string, readonly fraction: number }
  | { readonly kind: 'no-work' | 'work', readonly server: string } & Window
  | { readonly kind: 'complete', readonly caller: string, readonly fraction: number } & Window
  /** Executions as a fraction of the callers' distinct requests. */
  | { readonly kind: 'executions', readonly service: string, readonly fraction: number } & Window
  | { readonly kind: 'crashes', readonly count: number }
  | { readonly kind: 'version', readonly version: number, readonly time: number }

export type CallerOption =
  | { readonly kind: 'keyed' }
  | { readonly kind: 'resends', readonly times: number, readonly pause: number }
  | { readonly kind: 'deadline', readonly deadline: number }
  | { readonly kind: 'from', readonly start: number }
  | { readonly kind: 'until', readonly stop: number }
  | { readonly kind: 'poison', readonly interval: number }

export interface CallerStatement {
  readonly kind: 'caller'
  readonly name: string
  readonly region: string
  /** Requests per second. */
  readonly rate: number
  readonly method: string
  readonly service: string
  readonly path: string
  readonly options: readonly CallerOption[]
}

export interface ServiceStatement {
  readonly kind: 'service'
  readonly name: string
  readonly targets: number
  readonly slots: number
  /** Median service time in ms. */
  readonly time: number
  /** Standard deviation of ln(service time). */
  readonly deviation: number
}

export interface DataCenterStatement { readonly kind: 'data-center', readonly name: string, readonly region: string, readonly nodes: number }
export interface LatencyStatement { readonly kind: 'latency', readonly dataCenters: number, readonly regions: number, readonly clients: number }
export interface ConfigureStatement { readonly kind: 'configure', readonly section: string, readonly key: string, readonly value: string }
export interface AtStatement { readonly kind: 'at', readonly time: number, readonly action: Action }
export interface ExpectStatement { readonly kind: 'expect', readonly expectation: Expectation, readonly line: number }

export type Statement =
  | { readonly kind: 'scenario', readonly title: string }
  /** Includes a user's data centers and services; the parser replaces it by their statements. */
  | { readonly kind: 'use', readonly fleet: 'cinderfold' | 'ceara' }
  | { readonly kind: 'seed', readonly value: number }
  | { readonly kind: 'end', readonly time: number }
  | DataCenterStatement | LatencyStatement | ServiceStatement | ConfigureStatement | CallerStatement | AtStatement | ExpectStatement

type Of<Kind extends Statement['kind']> = Extract<Statement, { readonly kind: Kind }>

/** Returns all statements of one kind, in order. */
export function select<Kind extends Statement['kind']> (script: readonly Statement[], kind: Kind): ReadonlyArray<Of<Kind>> {
  return script.filter((statement): statement is Of<Kind> => statement.kind === kind)
}
