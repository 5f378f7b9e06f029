/** Shared state of the controllers (blackboard pattern). Each section is written by the controller that owns it and may be read by all. */
import * as Limits from '../admission/limits.js'
import * as Counters from '../burn/counters.js'
import * as Evidence from '../detection/evidence.js'
import * as Ejections from '../ejection/ejections.js'
import * as Entries from '../journal/entries.js'
import * as Members from '../membership/members.js'
import * as Targets from '../membership/targets.js'
import * as OwnershipStates from '../ownership/ownership-state.js'
import * as ConfigurationStates from '../publication/configuration-state.js'
import * as Crashes from '../quarantine/crashes.js'
import * as Requests from '../routing/requests.js'
import type * as Identities from './identity.js'

export class Blackboard {
  readonly members = new Members.Members()
  readonly targets = new Targets.Targets()
  readonly configuration = new ConfigurationStates.ConfigurationState()
  readonly evidence = new Evidence.Evidence()
  readonly ejections = new Ejections.Ejections()
  readonly limits = new Limits.Limits()
  readonly requests = new Requests.Requests()
  readonly keys = new OwnershipStates.OwnershipState()
  readonly crashes = new Crashes.Crashes()
  readonly burn = new Counters.Counters()
  readonly journal = new Entries.Entries()

  constructor (readonly identity: Identities.Identity) {}
}
