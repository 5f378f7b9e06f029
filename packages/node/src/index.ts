/** Public interface of the node package. */
export {}
