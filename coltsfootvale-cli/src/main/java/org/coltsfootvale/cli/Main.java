package org.coltsfootvale.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;

/** The operator's command line. */
public final class Main {

  private static final List<Command> COMMANDS = commands();

  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates a command line.
   *
   * @param environment the environment variables
   * @param out the stream for results
   * @param err the stream for errors and notices
   */
  public Main(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /** Runs the command given by the arguments and exits the process with its exit code. */
  public static void main(String[] arguments) {
    Main main = new Main(System.getenv(), System.out, System.err);
    System.exit(main.run(arguments).number());
  }

  /** Runs the command given by the arguments and returns its exit code. */
  public ExitCode run(String... arguments) {
    if (arguments.length == 0) {
      help().list(COMMANDS);
      return ExitCode.USAGE;
    }
    if (arguments[0].equals("--help") || arguments[0].equals("-h")) {
      help().list(COMMANDS);
      return ExitCode.OK;
    }
    Output output = new Output(out, err, requestsJson(arguments));
    try {
      return run(find(arguments), arguments, output);
    } catch (CliException e) {
      output.printError(e);
      return e.exitCode();
    }
  }

  private ExitCode run(Command command, String[] arguments, Output output) {
    int words = command.name().split(" ", -1).length;
    String[] rest = Arrays.copyOfRange(arguments, words, arguments.length);
    if (Arrays.asList(rest).contains("--" + CommonOptions.HELP)
        || Arrays.asList(rest).contains("-h")) {
      help().show(command);
      return ExitCode.OK;
    }
    CommandLine line = parse(command, rest);
    return command.run(new Invocation(line, environment, output));
  }

  private static CommandLine parse(Command command, String[] arguments) {
    try {
      CommandLine line = new DefaultParser().parse(CommonOptions.with(command), arguments);
      String form = line.getOptionValue(CommonOptions.OUTPUT, "text");
      if (!form.matches("text|json")) {
        throw CliException.usage("--output is '%s'".formatted(form), "Give text or json.");
      }
      return line;
    } catch (ParseException e) {
      throw CliException.usage(
          String.valueOf(e.getMessage()), "See coltsfootvale %s --help.".formatted(command.name()));
    }
  }

  private static Command find(String[] arguments) {
    Optional<Command> found =
        COMMANDS.stream().filter(command -> matchesName(command, arguments)).findFirst();
    return found.orElseThrow(
        () ->
            CliException.usage(
                "there is no command '%s'".formatted(String.join(" ", firstWords(arguments))),
                "Use one of: %s."
                    .formatted(String.join(", ", COMMANDS.stream().map(Command::name).toList()))));
  }

  private static List<String> firstWords(String[] arguments) {
    return Arrays.stream(arguments).takeWhile(word -> !word.startsWith("-")).limit(2).toList();
  }

  private static boolean matchesName(Command command, String[] arguments) {
    String[] words = command.name().split(" ", -1);
    return arguments.length >= words.length
        && Arrays.equals(words, Arrays.copyOf(arguments, words.length));
  }

  private static boolean requestsJson(String[] arguments) {
    List<String> all = Arrays.asList(arguments);
    int option = all.indexOf("--" + CommonOptions.OUTPUT);
    boolean separate = option >= 0 && all.subList(option + 1, all.size()).indexOf("json") == 0;
    return separate || all.contains("--" + CommonOptions.OUTPUT + "=json");
  }

  private Help help() {
    return new Help(new PrintWriter(out, true, StandardCharsets.UTF_8));
  }

  private static List<Command> commands() {
    List<Command> commands = new ArrayList<>(NoteCommands.all());
    commands.addAll(RouterCommands.all());
    commands.add(new AskCommand());
    commands.add(new ReplayCommand());
    commands.add(new ExplainCommand());
    commands.add(new SummaryCommand());
    return List.copyOf(commands);
  }
}
