/** Spreads rosters and promises to every node, including those that cannot read the log. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import * as Membership from '../membership/members.js'
import type * as Members from '../membership/members.js'
import type * as Messages from './message.js'
import type * as Roster from './roster.js'
import * as Sending from './sending.js'
import * as Summaries from './summary.js'

/** Each node passes on each new level once to this many nodes; about 94 % of a region hear a wave, the rest the next one. */
const WAVE_FANOUT = 3
/** New versions also go to this many nodes of other regions. */
const REMOTE_FANOUT = 2
const SYNCHRONIZATION_INTERVAL = Clock.seconds(2)
const REQUEST_INTERVAL = Clock.milliseconds(500)

export class Spreading {
  private readonly levels = new Map<Ids.Region, string>()
  private readonly versions = new Map<Ids.Region, string>()
  private readonly requestedAt = new Map<string, number>()
  private nextSynchronization = 0

  tick (turn: Controllers.Turn): void {
    for (const roster of turn.board.keys.rosters.byRegion.values()) {
      this.wave(roster, turn)
      this.announce(roster, turn)
    }
    if (turn.now >= this.nextSynchronization || this.nextSynchronization - turn.now > SYNCHRONIZATION_INTERVAL) this.synchronize(turn)
  }

  /** Promises of the own region: passed on at once when the covered time has risen. */
  private wave (roster: Roster.Roster, turn: Controllers.Turn): void {
    if (roster.region !== turn.board.identity.region) return
    const level = Summaries.recent(roster, turn.now).map(({ version, promises, start }, index, all) =>
      `${version} ${start !== undefined} ${index === all.length - 1 ? promises.promisedUntil() : promises.ended.filter(Boolean).length}`).join(',')
    if (this.levels.get(roster.region) === level) return
    this.levels.set(roster.region, level)
    this.sendTo(owners(turn), WAVE_FANOUT, Summaries.of(roster, turn.now), turn)
  }

  /** A new version, or the start of one, goes to all regions. */
  private announce (roster: Roster.Roster, turn: Controllers.Turn): void {
    const { latest } = roster
    const state = `${latest.version} ${latest.start !== undefined}`
    if (this.versions.get(roster.region) === state) return
    this.versions.set(roster.region, state)
    const local = others(turn, member => member.region === turn.board.identity.region)
    const remote = others(turn, member => member.region !== turn.board.identity.region)
    const last = roster.recent.at(-1)
    const messages: Messages.OwnershipMessage[] = [Summaries.of(roster, turn.now)]
    if (latest.start === undefined && last !== undefined) messages.unshift({ kind: 'roster-changes', region: roster.region, changes: [last] })
    for (const message of messages) {
      this.sendTo(local, WAVE_FANOUT, message, turn)
      this.sendTo(remote, REMOTE_FANOUT, message, turn)
    }
  }

  /** Repairs what waves miss, and asks for rosters of regions that this node does not know. */
  private synchronize (turn: Controllers.Turn): void {
    this.nextSynchronization = turn.now + SYNCHRONIZATION_INTERVAL
    const { rosters } = turn.board.keys
    const all = others(turn, () => true)
    for (const roster of rosters.byRegion.values()) this.sendTo(all, 1, Summaries.of(roster, turn.now), turn)
    for (const region of new Set(all.map(member => member.region)).add(turn.board.identity.region)) {
      if (!rosters.byRegion.has(region)) this.sendTo(all, WAVE_FANOUT, { kind: 'roster-request', region, version: -1 }, turn)
    }
  }

  heard (message: Messages.RosterPromises, from: Ids.NodeId, address: Ids.Endpoint, turn: Controllers.Turn): void {
    const region = message.region as Ids.Region
    const roster = turn.board.keys.rosters.get(region)
    const newest = Math.max(-1, ...message.versions.map(version => version.version))
    for (const version of message.versions) roster?.merge(version)
    const known = roster?.version ?? -1
    if (newest > known) this.request(region, known, from, address, turn)
    if (newest < known && roster !== undefined) this.answer(roster, newest, from, address, turn)
  }

  /** Sends what follows `version`: single changes if they are still kept, else the whole state. */
  answer (roster: Roster.Roster, version: number, to: Ids.NodeId, address: Ids.Endpoint, turn: Controllers.Turn): void {
    if (version >= roster.version || !this.permits(`answer ${roster.region} ${to} ${version}`, turn)) return
    const missing = roster.recent.filter(entry => entry.change.base >= version)
    const message: Messages.OwnershipMessage = missing[0]?.change.base === version
      ? { kind: 'roster-changes', region: roster.region, changes: missing }
      : { kind: 'roster-state', state: roster.state() }
    Sending.send(to, address, message, turn)
    Sending.send(to, address, Summaries.of(roster, turn.now), turn)
  }

  private request (region: Ids.Region, version: number, from: Ids.NodeId, address: Ids.Endpoint, turn: Controllers.Turn): void {
    if (this.permits(`request ${region}`, turn)) Sending.send(from, address, { kind: 'roster-request', region, version }, turn)
  }

  private permits (name: string, turn: Controllers.Turn): boolean {
    const last = this.requestedAt.get(name)
    if (last !== undefined && Math.abs(turn.now - last) < REQUEST_INTERVAL) return false
    if (this.requestedAt.size >= REQUESTS_REMEMBERED) this.requestedAt.clear()
    this.requestedAt.set(name, turn.now)
    return true
  }

  private sendTo (candidates: readonly Members.Member[], count: number, message: Messages.OwnershipMessage, turn: Controllers.Turn): void {
    const chosen = new Set<Members.Member>()
    for (let tries = 0; tries < 2 * count && chosen.size < count; tries += 1) {
      const member = turn.random.pick(candidates)
      if (member !== undefined) chosen.add(member)
    }
    for (const member of chosen) Sending.send(member.node, member.address, message, turn)
  }
}

const LEAVING = Clock.seconds(30)
const REQUESTS_REMEMBERED = 1_000

/** Members of this region, with those that left a short time ago: they own keys until the next roster starts. */
function owners (turn: Controllers.Turn): Members.Member[] {
  const { identity, members } = turn.board
  return [...members.byNode.values()].filter(member => member.region === identity.region && member.node !== identity.node &&
    (Membership.isUsable(member) || (member.state === 'left' && turn.now - member.stateSince < LEAVING)))
}

function others (turn: Controllers.Turn, wanted: (member: Members.Member) => boolean): Members.Member[] {
  return turn.board.members.usable().filter(member => member.node !== turn.board.identity.node && wanted(member))
}
