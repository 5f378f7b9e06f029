/** Resolves after `duration` ms. */
export async function delay (duration: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, duration) })
}
