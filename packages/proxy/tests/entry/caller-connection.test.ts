import * as assert from 'node:assert/strict'
import { test } from 'node:test'
import * as FastCheck from 'fast-check'
import * as CallerConnections from '../../src/entry/caller-connection.js'

const FRAMED: CallerConnections.Reply = { status: 200, fields: [], body: Buffer.alloc(0), isFramed: true }
const UNFRAMED: CallerConnections.Reply = { ...FRAMED, isFramed: false }
/** Runs a search; more by hand. */
const RUNS = Number(process.env.CONNECTION_RUNS ?? 2_000)
const SEED = Number(process.env.CONNECTION_SEED ?? 36)

class Request extends CallerConnections.PipelinedRequest {
  override isComplete = true
  isSent = false
  closes: CallerConnections.CloseReason | undefined

  constructor (private readonly wire: Wire, holdsBack = false) {
    super(holdsBack)
  }

  override write (reply: CallerConnections.Reply, closes: CallerConnections.CloseReason | undefined): void {
    this.closes = closes
    this.wire.write(this, reply)
  }
}

/** A connection with everything that was sent on it. Checks after each step what must hold at all times. */
class Wire {
  readonly requests: Request[] = []
  readonly written: Request[] = []
  isDraining = false
  isBroken = false
  isClosed = false
  readonly connection = new CallerConnections.CallerConnection({ isDraining: () => this.isDraining, end: () => { this.end('all sent') } })

  add (holdsBack = false, isComplete = true): Request | undefined {
    const request = new Request(this, holdsBack)
    request.isComplete = isComplete
    if (!this.connection.add(request)) return undefined
    this.requests.push(request)
    if (isComplete) void this.connection.mayPassOn(request)
    return request
  }

  /** Answers with a response without a length, or with an error if the connection cannot end there. */
  answerUnframed (request: Request): void {
    this.connection.answer(request, this.connection.tryEndWith(request) ? UNFRAMED : FRAMED)
  }

  write (request: Request, reply: CallerConnections.Reply): void {
    assert.ok(!this.isClosed, 'response after the end of the connection')
    assert.equal(this.requests.filter(other => !this.written.includes(other))[0], request, 'response out of order')
    assert.ok(reply.isFramed || request.closes !== undefined, 'response without a length on a connection that stays open')
    this.written.push(request)
    if (request.closes !== undefined) this.end(request.closes)
  }

  breakOff (): void {
    this.isBroken = true
    if (this.connection.breakOff()) this.end('rejected')
  }

  /** The first response that was written has been sent whole. */
  finishWriting (): void {
    const sent = this.written.find(request => !request.isSent)
    if (sent === undefined) return
    sent.isSent = true
    this.connection.remove(sent)
  }

  check (): void {
    const unanswered = this.requests.filter(request => request.isPassedOn && !this.written.includes(request))
    if (this.isClosed) assert.deepEqual(unanswered.map(request => this.requests.indexOf(request)), [], 'connection closed over requests that were passed on')
    const held = this.requests.filter((request, index) => request.isPassedOn && this.requests.slice(0, index).some(other => other.holdsBack && other.reply === undefined))
    assert.deepEqual(held, [], 'request was passed on behind one that holds it back')
  }

  private end (reason: string): void {
    assert.ok(!this.isClosed, `connection closed twice: ${reason}`)
    this.isClosed = true
  }
}

const EVENTS = ['add', 'add', 'add order', 'add incomplete', 'complete', 'answer first', 'answer any', 'answer any', 'unframed first', 'unframed any', 'reject last', 'break off', 'drain', 'sent', 'sent'] as const
type Event = readonly [(typeof EVENTS)[number], number]

function apply (wire: Wire, [kind, choice]: Event): void {
  const open = wire.requests.filter(request => request.reply === undefined)
  const running = open.filter(({ isPassedOn }) => isPassedOn)
  const [first, any, last] = [running[0], running[choice % Math.max(1, running.length)], open.at(-1)]
  const isReadable = !wire.isBroken && wire.requests.at(-1)?.isComplete !== false
  switch (kind) {
    case 'add': if (isReadable) wire.add(); break
    case 'add order': if (isReadable) wire.add(true); break
    case 'add incomplete': if (isReadable) wire.add(false, false); break
    case 'complete':
      if (last?.isComplete === false && !wire.isBroken) {
        last.isComplete = true
        void wire.connection.mayPassOn(last)
      }
      break
    case 'answer first': if (first !== undefined) wire.connection.answer(first, FRAMED); break
    case 'answer any': if (any !== undefined) wire.connection.answer(any, FRAMED); break
    case 'unframed first': if (first !== undefined) wire.answerUnframed(first); break
    case 'unframed any': if (any !== undefined) wire.answerUnframed(any); break
    case 'reject last': if (last?.isPassedOn === false) wire.connection.answer(last, FRAMED); break
    case 'break off': wire.breakOff(); break
    case 'drain': wire.isDraining = true; break
    case 'sent': wire.finishWriting(); break
  }
}

/** Lets everything end that can: each request that was passed on is answered, each response sent. */
function settle (wire: Wire): void {
  for (let rounds = 0; rounds <= wire.requests.length; rounds += 1) {
    for (const request of wire.requests) if (request.isPassedOn && request.reply === undefined) wire.connection.answer(request, FRAMED)
    while (wire.written.some(({ isSent }) => !isSent)) wire.finishWriting()
    wire.check()
  }
}

// Guards against a response that closes a connection over requests that run, is sent out of order, or looks complete without a length; and against a connection that nobody reads any more and that stays open.
test('each request that was passed on is answered before its connection ends', () => {
  const event = FastCheck.tuple(FastCheck.constantFrom(...EVENTS), FastCheck.nat(5))
  FastCheck.assert(FastCheck.property(FastCheck.array(event, { maxLength: 30, size: 'max' }), events => {
    const wire = new Wire()
    for (const each of events) {
      apply(wire, each)
      wire.check()
    }
    settle(wire)
    assert.deepEqual(wire.requests.filter(request => request.isPassedOn && !wire.written.includes(request)), [], 'request was passed on and has no response')
    assert.ok(wire.isClosed || !wire.isBroken, 'connection with malformed bytes stays open')
  }), { seed: SEED, numRuns: RUNS })
})

// Guards against a rejection that closes the connection although its request was read and others wait behind it.
test('only the response to a request that was not read to its end closes the connection', () => {
  const wire = new Wire()
  const [first, second, third] = [wire.add(), wire.add(false, false), wire.add()]
  assert.ok(first !== undefined && second !== undefined && third !== undefined)
  second.isComplete = true
  for (const request of [third, second, first]) wire.connection.answer(request, FRAMED)
  assert.deepEqual([first.closes, second.closes, third.closes], [undefined, undefined, undefined])
  const cutOff = wire.add(false, false)
  assert.ok(cutOff !== undefined)
  wire.connection.answer(cutOff, FRAMED)
  assert.equal(cutOff.closes, 'incomplete')
  assert.equal(wire.add(), undefined)
})

// Guards against requests behind an order that are lost when its response has no length, and that wait without need when it has one.
test('request behind a non-idempotent one is passed on when that is answered with a length', async () => {
  for (const reply of [FRAMED, UNFRAMED]) {
    const wire = new Wire()
    const [order, read] = [new Request(wire, true), new Request(wire)]
    wire.requests.push(order, read)
    for (const request of wire.requests) wire.connection.add(request)
    assert.equal(await wire.connection.mayPassOn(order), true)
    const mayPassOn = wire.connection.mayPassOn(read)
    assert.equal(wire.connection.isHeldBack(read), true)
    if (reply === UNFRAMED) assert.equal(wire.connection.tryEndWith(order), true)
    wire.connection.answer(order, reply)
    assert.equal(await mayPassOn, reply.isFramed)
  }
})

// Guards against a handler that waits for ever, and against listeners that are called after they were removed.
test('closed connection releases the requests that wait on it', async () => {
  const wire = new Wire()
  const [order, read] = [new Request(wire, true), new Request(wire)]
  for (const request of [order, read]) wire.connection.add(request)
  const calls: string[] = []
  wire.connection.whenClosed(() => { calls.push('kept') })
  wire.connection.whenClosed(() => { calls.push('removed') })()
  const mayPassOn = wire.connection.mayPassOn(read)
  wire.connection.close()
  assert.equal(await mayPassOn, false)
  assert.deepEqual(calls, ['kept'])
})
