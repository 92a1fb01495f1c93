package org.coltsfootvale.cli;

import java.util.List;
import java.util.function.Function;
import org.apache.commons.cli.Option;

/**
 * A command defined by its description and a function.
 *
 * @param name the words of its name
 * @param summary a one-line description
 * @param arguments its arguments as shown in the help
 * @param options the options specific to it
 * @param examples example invocations shown in the help
 * @param body the function that runs it
 */
record SimpleCommand(
    String name,
    String summary,
    String arguments,
    List<Option> options,
    List<String> examples,
    Function<Invocation, ExitCode> body)
    implements Command {

  SimpleCommand {
    options = List.copyOf(options);
    examples = List.copyOf(examples);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    return body.apply(invocation);
  }
}
