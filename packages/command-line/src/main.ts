/** Executable entry. */
import * as Program from './program.js'

await Program.createProgram().parseAsync(process.argv)
