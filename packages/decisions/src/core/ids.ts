/** Branded identifiers. A brand keeps one kind of id from being passed for another. */

export type NodeId = string & { readonly brand: 'NodeId' }
export type TargetId = string & { readonly brand: 'TargetId' }
export type Service = string & { readonly brand: 'Service' }
export type Region = string & { readonly brand: 'Region' }
export type DataCenter = string & { readonly brand: 'DataCenter' }
export type Account = string & { readonly brand: 'Account' }
export type RequestId = string & { readonly brand: 'RequestId' }
export type AttemptId = string & { readonly brand: 'AttemptId' }
export type IdempotencyKey = string & { readonly brand: 'IdempotencyKey' }
/** Digest of a request's service, method, path and body. */
export type Signature = string & { readonly brand: 'Signature' }
/** IP address and port, `ADDRESS:PORT`. */
export type Endpoint = string & { readonly brand: 'Endpoint' }
/** Start time of a process; a higher value replaces a lower one with the same id. */
export type Incarnation = number & { readonly brand: 'Incarnation' }
/** Configuration version; rises by one with every accepted publication. */
export type Version = number & { readonly brand: 'Version' }

export const nodeId = (value: string): NodeId => value as NodeId
export const targetId = (value: string): TargetId => value as TargetId
export const service = (value: string): Service => value as Service
export const region = (value: string): Region => value as Region
export const dataCenter = (value: string): DataCenter => value as DataCenter
export const account = (value: string): Account => value as Account
export const requestId = (value: string): RequestId => value as RequestId
export const attemptId = (value: string): AttemptId => value as AttemptId
export const idempotencyKey = (value: string): IdempotencyKey => value as IdempotencyKey
export const signature = (value: string): Signature => value as Signature
export const endpoint = (value: string): Endpoint => value as Endpoint
export const incarnation = (value: number): Incarnation => value as Incarnation
export const version = (value: number): Version => value as Version
