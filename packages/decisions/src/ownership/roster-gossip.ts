/** Sends rosters and promises to all nodes by gossip, including the nodes that cannot read the log. */
import * as Clock from '../core/clock.js'
import type * as Controllers from '../core/controller.js'
import type * as Ids from '../core/ids.js'
import type * as Members from '../membership/members.js'
import type * as Messages from './message.js'
import type * as Rosters from './roster.js'
import * as PeerLists from './peer-lists.js'
import * as Transport from './transport.js'
import * as PromiseSummaries from './promise-summary.js'

/**
 * Nodes to which each node forwards every new state of the promises once. A round reaches about 94 % of a region;
 * the other nodes are reached by the next round.
 */
const GOSSIP_FANOUT = 3
/** Nodes of other regions to which a new version is sent. */
const REMOTE_FANOUT = 2
const SYNCHRONIZATION_INTERVAL = Clock.seconds(2)
/** Shortest time between two identical requests, or two identical answers to the same node. */
const REPLY_INTERVAL = Clock.milliseconds(500)

export class RosterGossip {
  /** By region: state of the promises that was sent last. */
  private readonly gossipedPromises = new Map<Ids.Region, string>()
  /** By region: latest version that was sent, and whether its start was known. */
  private readonly gossipedVersions = new Map<Ids.Region, string>()
  private readonly lastSentAt = new Map<string, number>()
  private readonly peers = new PeerLists.PeerLists()
  private nextSynchronizationAt = 0

  tick (context: Controllers.StepContext): void {
    for (const roster of context.board.keys.rosters.byRegion.values()) {
      this.gossipPromises(roster, context)
      this.gossipVersion(roster, context)
    }
    if (context.now >= this.nextSynchronizationAt || this.nextSynchronizationAt - context.now > SYNCHRONIZATION_INTERVAL) this.synchronize(context)
  }

  /** Forwards the promises of this node's region as soon as the promised time has risen or a promise has ended. */
  private gossipPromises (roster: Rosters.Roster, context: Controllers.StepContext): void {
    if (roster.region !== context.board.identity.region) return
    const promiseState = PromiseSummaries.recentVersions(roster, context.now).map(({ version, promises, start }, index, all) =>
      `${version} ${start !== undefined} ${index === all.length - 1 ? promises.promisedUntil() : promises.ended.filter(Boolean).length}`).join(',')
    if (this.gossipedPromises.get(roster.region) === promiseState) return
    this.gossipedPromises.set(roster.region, promiseState)
    this.sendTo(this.peers.refresh(context).possibleOwners, GOSSIP_FANOUT, PromiseSummaries.summarize(roster, context.now), context)
  }

  /** Sends a new version, or its start, to nodes of all regions. */
  private gossipVersion (roster: Rosters.Roster, context: Controllers.StepContext): void {
    const { latest } = roster
    const state = `${latest.version} ${latest.start !== undefined}`
    if (this.gossipedVersions.get(roster.region) === state) return
    this.gossipedVersions.set(roster.region, state)
    const { local, remote } = this.peers.refresh(context)
    const last = roster.recentChanges.at(-1)
    const messages: Messages.OwnershipMessage[] = [PromiseSummaries.summarize(roster, context.now)]
    if (latest.start === undefined && last !== undefined) messages.unshift({ kind: 'roster-changes', region: roster.region, changes: [last] })
    for (const message of messages) {
      this.sendTo(local, GOSSIP_FANOUT, message, context)
      this.sendTo(remote, REMOTE_FANOUT, message, context)
    }
  }

  /** Anti-entropy: sends the promises to a random node, and requests the rosters of regions that are missing here. */
  private synchronize (context: Controllers.StepContext): void {
    this.nextSynchronizationAt = context.now + SYNCHRONIZATION_INTERVAL
    const { rosters } = context.board.keys
    const { all } = this.peers.refresh(context)
    for (const roster of rosters.byRegion.values()) this.sendTo(all, 1, PromiseSummaries.summarize(roster, context.now), context)
    const { regions } = this.peers
    for (const region of regions) {
      if (!rosters.byRegion.has(region)) this.sendTo(all, GOSSIP_FANOUT, { kind: 'roster-request', region, version: -1 }, context)
    }
  }

  handlePromises (message: Messages.RosterPromises, from: Ids.NodeId, address: Ids.Endpoint, context: Controllers.StepContext): void {
    const region = message.region as Ids.Region
    const roster = context.board.keys.rosters.get(region)
    const newestVersion = Math.max(-1, ...message.versions.map(version => version.version))
    for (const version of message.versions) roster?.merge(version)
    const knownVersion = roster?.version ?? -1
    if (newestVersion > knownVersion) this.request(region, knownVersion, from, address, context)
    if (newestVersion < knownVersion && roster !== undefined) this.answer(roster, newestVersion, from, address, context)
  }

  /** Sends the changes after `version` if they are still kept, else the complete state; in both cases with the promises. */
  answer (roster: Rosters.Roster, version: number, to: Ids.NodeId, address: Ids.Endpoint, context: Controllers.StepContext): void {
    if (version >= roster.version || !this.isWithinRateLimit(`answer ${roster.region} ${to} ${version}`, context)) return
    const missing = roster.recentChanges.filter(entry => entry.change.base >= version)
    const message: Messages.OwnershipMessage = missing[0]?.change.base === version
      ? { kind: 'roster-changes', region: roster.region, changes: missing }
      : { kind: 'roster-state', state: roster.toState() }
    Transport.send(to, address, message, context)
    Transport.send(to, address, PromiseSummaries.summarize(roster, context.now), context)
  }

  private request (region: Ids.Region, version: number, from: Ids.NodeId, address: Ids.Endpoint, context: Controllers.StepContext): void {
    if (this.isWithinRateLimit(`request ${region}`, context)) Transport.send(from, address, { kind: 'roster-request', region, version }, context)
  }

  /** Limits the rate of messages with the same name. Counts the message if it may be sent. */
  private isWithinRateLimit (name: string, context: Controllers.StepContext): boolean {
    const last = this.lastSentAt.get(name)
    if (last !== undefined && Math.abs(context.now - last) < REPLY_INTERVAL) return false
    if (this.lastSentAt.size >= RATE_LIMIT_ENTRIES_MAXIMUM) this.lastSentAt.clear()
    this.lastSentAt.set(name, context.now)
    return true
  }

  /** Sends a message to up to `count` random candidates. */
  private sendTo (candidates: readonly Members.Member[], count: number, message: Messages.OwnershipMessage, context: Controllers.StepContext): void {
    const selected = new Set<Members.Member>()
    for (let tries = 0; tries < 2 * count && selected.size < count; tries += 1) {
      const member = context.random.pick(candidates)
      if (member !== undefined) selected.add(member)
    }
    for (const member of selected) Transport.send(member.node, member.address, message, context)
  }
}

const RATE_LIMIT_ENTRIES_MAXIMUM = 1_000
