/** Entry point of `npm run measure -- SUBCOMMAND`. Each subcommand is a module in commands/. */
import * as Commander from 'commander'
import * as Capacity from './commands/capacity.js'
import * as Costs from './commands/costs.js'
import * as Detection from './commands/detection.js'
import * as Latency from './commands/latency.js'
import * as Proxy from './commands/proxy.js'

const program = new Commander.Command('measure').description('Measurements of jasminedale').showHelpAfterError()
Capacity.register(program)
Costs.register(program)
Detection.register(program)
Latency.register(program)
Proxy.register(program)
await program.parseAsync(process.argv)
