package org.coltsfootvale.testkit;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command-line options of a stand-in program. */
final class CommandLineOptions {

  private final CommandLine line;

  /**
   * Parses arguments.
   *
   * @param arguments the arguments that follow the program's name
   * @param names the names of the supported options, each with a value
   * @throws ParseException if an option is unknown or has no value
   */
  CommandLineOptions(String[] arguments, String... names) throws ParseException {
    Options options = new Options();
    for (String name : names) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    line = new DefaultParser().parse(options, arguments);
  }

  String text(String name, String defaultValue) {
    return line.getOptionValue(name, defaultValue);
  }

  int integer(String name, int defaultValue) throws ParseException {
    return (int) number(name, defaultValue);
  }

  boolean bool(String name, boolean defaultValue) {
    return Boolean.parseBoolean(text(name, Boolean.toString(defaultValue)));
  }

  double number(String name, double defaultValue) throws ParseException {
    String text = line.getOptionValue(name);
    try {
      return text == null ? defaultValue : Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new ParseException("--" + name + " needs a number, but has '" + text + "'");
    }
  }
}
