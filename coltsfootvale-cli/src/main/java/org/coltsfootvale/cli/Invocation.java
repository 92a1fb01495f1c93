package org.coltsfootvale.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;

/** The arguments, options and environment of one run of a command. */
final class Invocation {

  private static final String ROUTER_DEFAULT = "http://127.0.0.1:8080";
  private static final long TIMEOUT_MILLIS_DEFAULT = 10_000;
  private static final long TIMEOUT_MILLIS_MAX = 3_600_000;

  private final CommandLine line;
  private final Map<String, String> environment;
  private final Output output;

  Invocation(CommandLine line, Map<String, String> environment, Output output) {
    this.line = line;
    this.environment = environment;
    this.output = output;
  }

  /** Returns the output for results. */
  Output output() {
    return output;
  }

  /** Returns the value of an option. */
  Optional<String> option(String name) {
    return Optional.ofNullable(line.getOptionValue(name));
  }

  /** Returns whether a flag is set. */
  boolean flag(String name) {
    return line.hasOption(name);
  }

  /**
   * Returns the value of an integer option.
   *
   * @throws CliException if it is not an integer or is out of range
   */
  long number(String name, long defaultValue, long min, long max) {
    Optional<String> text = option(name);
    if (text.isEmpty()) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text.get());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException ignored) {
      // Reported below, as numbers out of range are.
    }
    throw CliException.usage(
        "--%s is '%s'".formatted(name, text.get()),
        "Give a whole number from %d to %d.".formatted(min, max));
  }

  /**
   * Returns the only argument.
   *
   * @throws CliException if there is none or more than one
   */
  String argument(String meaning) {
    List<String> arguments = line.getArgList();
    if (arguments.size() != 1) {
      throw CliException.usage(
          "the command needs %s, but has %d arguments".formatted(meaning, arguments.size()),
          "Give %s; put quotes round text with spaces.".formatted(meaning));
    }
    return arguments.get(0);
  }

  /**
   * Returns all arguments, at least one.
   *
   * @throws CliException if there is none
   */
  List<String> arguments(String meaning) {
    List<String> arguments = line.getArgList();
    if (arguments.isEmpty()) {
      throw CliException.usage(
          "the command needs %s".formatted(meaning), "Give %s or several.".formatted(meaning));
    }
    return arguments;
  }

  /**
   * Checks that there are no arguments.
   *
   * @throws CliException if there are
   */
  void noArguments() {
    if (!line.getArgList().isEmpty()) {
      throw CliException.usage(
          "unexpected argument '%s'".formatted(line.getArgList().get(0)),
          "Leave it out; see --help.");
    }
  }

  /**
   * Returns the contents of a text file.
   *
   * @throws CliException if it cannot be read
   */
  String readFile(String name) {
    try {
      return Files.readString(Path.of(name));
    } catch (IOException | InvalidPathException e) {
      throw CliException.invalidFile(
          "cannot read the file '%s'".formatted(name),
          "Give the path of a readable UTF-8 text file.");
    }
  }

  /** Returns a client for the configured routers. */
  RouterClient client() {
    return client(timeout());
  }

  /** Returns a client for the configured routers with the given timeout. */
  RouterClient client(Duration timeout) {
    String routers =
        option(CommonOptions.ROUTER)
            .or(() -> Optional.ofNullable(environment.get(CommonOptions.ROUTER_VARIABLE)))
            .orElse(ROUTER_DEFAULT);
    return client(List.of(routers.split(",", -1)), timeout);
  }

  /** Returns a client for given addresses. */
  RouterClient client(List<String> addresses, Duration timeout) {
    return new RouterClient(addresses, token(), timeout);
  }

  /** Returns the timeout of a call. */
  Duration timeout() {
    return Duration.ofMillis(
        number(CommonOptions.TIMEOUT_MILLIS, TIMEOUT_MILLIS_DEFAULT, 1, TIMEOUT_MILLIS_MAX));
  }

  private Optional<String> token() {
    return option(CommonOptions.TOKEN)
        .or(() -> option(CommonOptions.TOKEN_FILE).map(file -> readFile(file).strip()))
        .or(() -> Optional.ofNullable(environment.get(CommonOptions.TOKEN_VARIABLE)));
  }
}
