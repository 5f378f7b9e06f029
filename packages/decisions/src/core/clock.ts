/**
 * The project's only time type. Instants are milliseconds since the Unix epoch,
 * durations are milliseconds. The decision library never reads a clock itself.
 */

/** An instant or a duration in milliseconds. */
export type Milliseconds = number & { readonly brand: 'Milliseconds' }

const MILLISECONDS_PER_SECOND = 1_000
const MILLISECONDS_PER_MINUTE = 60_000
const MILLISECONDS_PER_HOUR = 3_600_000

/** Brands a plain number of milliseconds. */
export function milliseconds (value: number): Milliseconds {
  return value as Milliseconds
}

/** Converts seconds to milliseconds. */
export function seconds (value: number): Milliseconds {
  return milliseconds(value * MILLISECONDS_PER_SECOND)
}

/** Converts minutes to milliseconds. */
export function minutes (value: number): Milliseconds {
  return milliseconds(value * MILLISECONDS_PER_MINUTE)
}

/** Converts hours to milliseconds. */
export function hours (value: number): Milliseconds {
  return milliseconds(value * MILLISECONDS_PER_HOUR)
}

/** Adds a duration to an instant or to another duration. */
export function add (left: Milliseconds, right: Milliseconds): Milliseconds {
  return milliseconds(left + right)
}

/** Time from `earlier` to `later`; negative when the order is reversed. */
export function between (earlier: Milliseconds, later: Milliseconds): Milliseconds {
  return milliseconds(later - earlier)
}

/** Source of the current time. Daemons read the system clock, tests a virtual one. */
export abstract class Clock {
  abstract now (): Milliseconds
}

/** A clock that advances only when `advance` is called, for tests and simulations. */
export class VirtualClock extends Clock {
  private current: Milliseconds

  constructor (start: Milliseconds = milliseconds(0)) {
    super()
    this.current = start
  }

  now (): Milliseconds {
    return this.current
  }

  advance (duration: Milliseconds): void {
    this.current = add(this.current, duration)
  }
}
