/** Public interface of the measurements package. */
export {}
