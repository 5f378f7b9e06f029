/** Stand-in for the platform's metadata store: keyed topics with one partition, as PROTOCOL.md describes them. */
import Http from 'node:http'

const APPEND_LATENCY_MS = 4
const POLL_MS = 5

export class Store {
  /** Set by a case: whether calls get no answer and do nothing. */
  isSilent = false
  /** Set by a case: status of all calls, which then do nothing. */
  refusal = undefined
  era = 0
  topics = new Map()
  server = Http.createServer((request, response) => { this.handle(request, response).catch(() => { response.destroy() }) })

  async open (ip) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, ip, resolve)
    })
    this.address = `${ip}:${this.server.address().port}`
    return this.address
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a record, as the operator does. */
  write (topic, key, value) {
    this.topic(topic).records.push({ key, value: Buffer.from(value) })
  }

  newest (topic) {
    const values = new Map()
    for (const { key, value } of this.topic(topic).records) values.set(key, value.toString())
    return values
  }

  topic (name) {
    let topic = this.topics.get(name)
    if (topic === undefined) this.topics.set(name, topic = { records: [] })
    return topic
  }

  async handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    if (this.isSilent) return
    response.setHeader('Store-Era', String(this.era))
    if (this.refusal !== undefined) {
      response.writeHead(this.refusal).end()
      return
    }
    if (url.pathname === '/jasminedale/log-append') await this.append(url, Buffer.concat(chunks), response)
    else if (url.pathname === '/jasminedale/log-newest') this.sendNewest(url, response)
    else if (url.pathname === '/jasminedale/log-read') await this.sendRecords(url, response)
    else response.writeHead(404).end()
  }

  async append (url, body, response) {
    await delay(APPEND_LATENCY_MS)
    const { records } = this.topic(url.searchParams.get('topic'))
    const offset = records.length
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position)
      const content = body.subarray(position + 4, position + 4 + length)
      const keyEnd = 1 + content[0]
      records.push({ key: content.subarray(1, keyEnd).toString(), value: content.subarray(keyEnd) })
      position += 4 + length
    }
    sendJson(response, 200, { offset, end_offset: records.length })
  }

  sendNewest (url, response) {
    const { records } = this.topic(url.searchParams.get('topic'))
    const newest = new Map(records.map((record, offset) => [record.key, { ...record, offset }]))
    const items = [...newest.values()].filter(({ value }) => value.length > 0)
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
    sendJson(response, 200, { items, has_more: false, end_offset: records.length })
  }

  async sendRecords (url, response) {
    const { records } = this.topic(url.searchParams.get('topic'))
    const from = Number(url.searchParams.get('from'))
    const waitUntil = performance.now() + Number(url.searchParams.get('wait_ms') ?? 0)
    if (from > records.length) {
      sendJson(response, 410, { first_offset: 0 })
      return
    }
    while (records.length <= from && performance.now() < waitUntil && !response.destroyed) await delay(POLL_MS)
    if (this.isSilent) return
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(records.length), 0)
    response.writeHead(200).end(Buffer.concat([header, ...records.slice(from).map(encode)]))
  }
}

function encode ({ key, value }) {
  const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

function sendJson (response, status, value) {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}

export async function delay (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}
