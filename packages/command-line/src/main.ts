/** Executable entry. */
import * as Program from './program.js'

await Program.program().parseAsync(process.argv)
