/** The `jasminedale` program. Each subcommand is a module in commands/. */
import * as Commander from 'commander'
import * as Burn from './commands/burn.js'
import * as Check from './commands/check.js'
import * as Drain from './commands/drain.js'
import * as Drive from './commands/drive.js'
import * as Explain from './commands/explain.js'
import * as Node from './commands/node.js'
import * as Publish from './commands/publish.js'
import * as Status from './commands/status.js'
import * as ExitCodes from './exit-code.js'

/** Creates the program with all subcommands. */
export function createProgram (): Commander.Command {
  const root = new Commander.Command('jasminedale')
    .description('Proxy fleet for backend servers with gray failures')
    .showHelpAfterError()
    .exitOverride(error => { process.exit(error.exitCode === 0 ? ExitCodes.EXIT_CODE.success : ExitCodes.EXIT_CODE.usage) })
  Check.register(root)
  Publish.register(root)
  Node.register(root)
  Drain.register(root)
  Status.register(root)
  Explain.register(root)
  Burn.register(root)
  Drive.register(root)
  return root
}
