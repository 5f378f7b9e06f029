/** Section `burn`: service-level counters. Written by Burn. */
export class Counters {
}
