package org.coltsfootvale.cli;

import java.util.List;
import java.util.function.Function;
import org.apache.commons.cli.Option;

/**
 * A command made of its description and a function.
 *
 * @param name the words that name it
 * @param summary what it does, in one line
 * @param arguments its arguments as the help shows them
 * @param options its own options
 * @param examples examples that can be copied
 * @param body what it does
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
