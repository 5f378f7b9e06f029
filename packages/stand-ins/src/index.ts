/** Public interface of the stand-ins package. */
export {}
