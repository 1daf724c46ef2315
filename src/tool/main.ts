#!/usr/bin/env node
/** The command-line tool for operators and callers. */
import * as clipanion from 'clipanion';
import * as version from '../base/node/version';
import * as callerCommands from './caller_commands';
import * as checkCommand from './check_command';
import * as declarationCommands from './declaration_commands';
import * as operationCommands from './operation_commands';

const cli = new clipanion.Cli({
  binaryLabel: 'rhubarbvane',
  binaryName: 'rhubarbvane',
  binaryVersion: version.readVersion(),
});
const commands = [
  checkCommand.CheckCommand,
  declarationCommands.ApplyCommand,
  declarationCommands.GetCommand,
  declarationCommands.DeleteCommand,
  declarationCommands.WatchCommand,
  operationCommands.StatusCommand,
  operationCommands.DrainCommand,
  operationCommands.WindDownCommand,
  operationCommands.ExplainCommand,
  callerCommands.CompleteCommand,
  callerCommands.CallCommand,
  clipanion.Builtins.HelpCommand,
  clipanion.Builtins.VersionCommand,
];
commands.forEach(command => cli.register(command));
void cli.run(process.argv.slice(2)).then(code => process.exit(code));
