/** Public interface of the configuration package. */
export {}
