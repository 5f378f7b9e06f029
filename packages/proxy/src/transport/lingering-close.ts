/** Closes connections so that what was sent last reaches the peer. */
import type * as Net from 'node:net'

/** Time for a peer to read the last response and to close the connection. */
const LINGER_MS = 1_000

/**
 * Ends the sending direction when everything has been sent, and goes on reading until the peer closes too, for
 * `LINGER_MS` at most. To close a connection while the peer still sends resets it, and the peer may lose what it has not read.
 */
export function close (socket: Net.Socket): void {
  if (socket.destroyed || socket.writableEnded) return
  socket.end(() => {
    const timer = setTimeout(() => { socket.destroy() }, LINGER_MS)
    socket.once('close', () => { clearTimeout(timer) })
  })
  socket.resume()
}
