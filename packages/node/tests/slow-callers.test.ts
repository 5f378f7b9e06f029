import * as assert from 'node:assert/strict'
import * as Net from 'node:net'
import { test } from 'node:test'
import * as Support from './support.js'

async function sendRaw (address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':')
  const socket = Net.connect({ host: host ?? '', port: Number(port) })
  socket.write(bytes)
  let received = ''
  for await (const chunk of socket) received += String(chunk)
  return received
}

// Guards against callers that occupy connections by never finishing a header section or a body.
test('slow header section and slow body are answered with a problem type', async t => {
  const { daemon, address } = await Support.startNode({ name: 'n1' })
  const backend = await Support.startBackend(address)
  t.after(() => Promise.all([daemon.kill(), backend.stop()]))
  const [headers, body] = await Promise.all([
    sendRaw(address, 'GET /accounts/x HTTP/1.1\r\nhost: localhost\r\n'),
    sendRaw(address, 'PUT /accounts/x HTTP/1.1\r\nhost: localhost\r\njasminedale-deadline: 300\r\ncontent-length: 10\r\n\r\nabc')
  ])
  assert.match(headers, /^HTTP\/1.1 408[^]*problem:deadline-exceeded/)
  assert.match(body, /^HTTP\/1.1 504[^]*jasminedale-outcome: not-run[^]*problem:deadline-exceeded/)
})
