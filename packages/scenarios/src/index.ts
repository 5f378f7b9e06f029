/** Public interface of the scenarios package. */
export {}
