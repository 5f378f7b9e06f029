/** Public interface of the command-line package. */
export {}
