/** Entry point of the `jasminedale` executable. */
import * as Program from './program.js'

await Program.createProgram().parseAsync(process.argv)
