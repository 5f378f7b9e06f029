/** Keeps the table of targets and spreads it to other nodes. */
import * as Controllers from '../core/controller.js'
import type * as Events from '../core/event.js'

export class Directory extends Controllers.Controller {
  react (event: Events.Event, turn: Controllers.Turn): void {
    switch (event.kind) {
      case 'target-announced': announce(event, turn); break
      case 'target-leaving': leave(event, turn); break
      case 'target-gone': turn.board.targets.remove(event.target); break
      default: break
    }
  }
}

function announce (event: Events.TargetAnnounced, turn: Controllers.Turn): void {
  const { identity, targets } = turn.board
  const known = targets.get(event.target)
  const restarted = known?.incarnation !== event.incarnation
  targets.put({
    target: event.target,
    service: event.service,
    host: identity.node,
    dataCenter: identity.dataCenter,
    region: identity.region,
    address: event.address,
    slots: event.slots,
    incarnation: event.incarnation,
    state: restarted ? 'serving' : known.state,
    announcedAt: restarted ? turn.now : known.announcedAt,
    load: event.load ?? 0
  })
}

function leave (event: Events.TargetLeaving, turn: Controllers.Turn): void {
  const known = turn.board.targets.get(event.target)
  if (known !== undefined) turn.board.targets.put({ ...known, state: 'leaving' })
}
