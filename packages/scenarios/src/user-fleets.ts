/** Current fleet sizes of the two users, as scenario text. */

export const USER_FLEETS: Readonly<Record<'cinderfold' | 'ceara', string>> = {
  cinderfold: `
latency data-centers 1ms regions 8ms clients 3ms
data-center burnaby-a in lower-mainland nodes 4
data-center surrey-b in lower-mainland nodes 4
data-center kelowna-a in interior nodes 4
data-center vernon-b in interior nodes 4
service accounts targets 24 slots 4 time 40ms deviation 0.4
service storefront targets 8 slots 4 time 40ms deviation 0.4`,
  ceara: `
latency data-centers 1.5ms regions 8ms clients 3ms
data-center buc-a in muntenia nodes 4
data-center buc-b in muntenia nodes 4
data-center cluj-a in transilvania nodes 4
data-center cluj-b in transilvania nodes 4
service catalog targets 24 slots 3 time 40ms deviation 0.4
service orders targets 8 slots 3 time 40ms deviation 0.4`
}
