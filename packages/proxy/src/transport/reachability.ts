/** Tells a server that has ended from one that only closed a connection. */
import * as Net from 'node:net'
import type * as Decisions from '@jasminedale/decisions'

/** The server is on the same VM, where a connection opens at once unless nothing accepts it. */
const CONNECT_TIMEOUT_MS = 500

/** Whether the server at `address` accepts connections. */
export async function accepts (address: Decisions.Ids.Endpoint): Promise<boolean> {
  const separator = address.lastIndexOf(':')
  return await new Promise(resolve => {
    const socket = Net.connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), timeout: CONNECT_TIMEOUT_MS })
    const finish = (isAccepted: boolean): void => {
      socket.destroy()
      resolve(isAccepted)
    }
    socket.once('connect', () => { finish(true) })
    socket.once('timeout', () => { finish(false) })
    socket.once('error', () => { finish(false) })
  })
}
