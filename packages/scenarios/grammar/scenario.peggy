// Grammar of the scenario language: one statement per line, times in virtual time.
{{
  const UNITS = { ms: 1, s: 1000, m: 60000, h: 3600000 }
}}

Script = first:Line rest:('\n' line:Line { return line })* { return [first, ...rest].filter(line => line !== null) }
Line = _ statement:Statement? _ Comment? { return statement }
Comment = '#' [^\n]*

Statement
  = 'scenario' __ title:Text { return { kind: 'scenario', title } }
  / 'use' __ fleet:('cinderfold' / 'ceara') { return { kind: 'use', fleet } }
  / 'seed' __ value:Integer { return { kind: 'seed', value } }
  / 'latency' __ 'data-centers' __ dataCenters:Duration __ 'regions' __ regions:Duration __ 'clients' __ clients:Duration { return { kind: 'latency', dataCenters, regions, clients } }
  / 'data-center' __ name:Name __ 'in' __ region:Name __ 'nodes' __ nodes:Integer { return { kind: 'data-center', name, region, nodes } }
  / 'service' __ name:Name __ 'targets' __ targets:Integer __ 'slots' __ slots:Integer __ 'time' __ time:Duration deviation:(__ 'deviation' __ value:Number { return value })? { return { kind: 'service', name, targets, slots, time, deviation: deviation ?? 0.3 } }
  / 'configure' __ section:Section? key:Name _ '=' _ value:Rest { return { kind: 'configure', section: section ?? 'defaults', key, value } }
  / 'caller' __ name:Name __ 'in' __ region:Name __ 'sends' __ rate:Rate __ method:Method __ service:Name path:(__ path:Path { return path })? options:(__ option:CallerOption { return option })* { return { kind: 'caller', name, region, rate, method, service, path: path ?? '/', options } }
  / 'at' __ time:Duration __ action:Action { return { kind: 'at', time, action } }
  / 'expect' __ expectation:Expectation { return { kind: 'expect', expectation, line: location().start.line } }
  / 'end' __ time:Duration { return { kind: 'end', time } }

Section = '[' name:$[^\]\n]+ ']' __ { return name }

CallerOption
  = 'keyed' { return { kind: 'keyed' } }
  / 'resends' __ times:Integer __ 'after' __ pause:Duration { return { kind: 'resends', times, pause } }
  / 'deadline' __ deadline:Duration { return { kind: 'deadline', deadline } }
  / 'from' __ start:Duration { return { kind: 'from', start } }
  / 'until' __ stop:Duration { return { kind: 'until', stop } }
  / 'poison' __ 'every' __ interval:Duration { return { kind: 'poison', interval } }

Action
  = 'server' __ server:Name __ fault:Fault { return { kind: 'server', server, fault } }
  / 'servers' __ 'of' __ service:Name __ fault:Fault { return { kind: 'service', service, fault } }
  / 'node' __ node:Name __ deed:('kill' / 'pause' / 'resume' / 'restart' / 'drain') { return { kind: 'node', node, deed } }
  / 'data-center' __ name:Name __ deed:('kill' / 'restart') { return { kind: 'data-center', name, deed } }
  / 'cut' __ from:Name __ direction:('->' / '<->') __ to:Name { return { kind: 'cut', from, to, both: direction === '<->' } }
  / 'loss' __ percent:Number '%' { return { kind: 'loss', fraction: percent / 100 } }
  / 'heal' { return { kind: 'heal' } }
  / 'log' __ state:('down' / 'up' / 'loses-replies') { return { kind: 'log', state } }
  / 'publish' __ name:Name __ 'base' __ base:Integer __ key:Name _ '=' _ value:Rest { return { kind: 'publish', name, base, key, value } }

Fault
  = 'slow' __ factor:Number 'x' { return { kind: 'slow', factor } }
  / 'errors' __ percent:Number '%' { return { kind: 'errors', fraction: percent / 100 } }
  / 'hang' { return { kind: 'hang' } }
  / 'truncate' { return { kind: 'truncate' } }
  / 'shed' { return { kind: 'shed' } }
  / 'fails-probes' { return { kind: 'fails-probes' } }
  / 'silent-connections' { return { kind: 'silent-connections' } }
  / 'crash' { return { kind: 'crash' } }
  / 'leave' { return { kind: 'leave' } }
  / 'healthy' { return { kind: 'healthy' } }

Expectation
  = 'at-most-once' { return { kind: 'at-most-once' } }
  / 'honest-refusals' { return { kind: 'honest-refusals' } }
  / 'whole-answers' { return { kind: 'whole-answers' } }
  / 'ejected' __ server:Name __ 'within' __ within:Duration __ 'of' __ time:Duration { return { kind: 'ejected', server, from: time, until: time + within } }
  / 'in-service' __ server:Name __ 'at' __ time:Duration { return { kind: 'in-service', server, time } }
  / 'no-ejections' { return { kind: 'no-ejections' } }
  / 'floor' __ service:Name __ percent:Number '%' { return { kind: 'floor', service, fraction: percent / 100 } }
  / 'no-work' __ server:Name __ Window:Window { return { kind: 'no-work', server, ...Window } }
  / 'work' __ server:Name __ Window:Window { return { kind: 'work', server, ...Window } }
  / 'complete' __ caller:Name __ '>=' __ percent:Number '%' window:(__ window:Window { return window })? { return { kind: 'complete', caller, fraction: percent / 100, ...(window ?? { from: 0, until: Infinity }) } }
  / 'executions' __ service:Name __ '<=' __ percent:Number '%' __ 'of-requests' window:(__ window:Window { return window })? { return { kind: 'executions', service, fraction: percent / 100, ...(window ?? { from: 0, until: Infinity }) } }
  / 'crashes' __ '<=' __ count:Integer { return { kind: 'crashes', count } }
  / 'version' __ version:Integer __ 'everywhere' __ 'at' __ time:Duration { return { kind: 'version', version, time } }

Window = 'from' __ from:Duration __ 'to' __ until:Duration { return { from, until } }

Duration = value:Number unit:('ms' / 's' / 'm' / 'h') { return value * UNITS[unit] }
Rate = value:Number '/' unit:('s' / 'm') { return value * 1000 / UNITS[unit] }
Number = digits:$([0-9]+ ('.' [0-9]+)?) { return Number(digits) }
Integer = digits:$[0-9]+ { return Number(digits) }
Method = $('GET' / 'POST' / 'PUT' / 'DELETE' / 'PATCH')
Path = $('/' [^ \n#]*)
Name = $([a-z0-9] [a-z0-9.-]*)
Text = '"' text:$[^"\n]* '"' { return text }
Rest = text:$[^\n#]+ { return text.trim() }
_ 'space' = [ \t\r]*
__ 'space' = [ \t]+
