package org.coltsfootvale.cli;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The options that all commands share. */
final class CommonOptions {

  static final String ROUTER = "router";
  static final String TOKEN = "token";
  static final String TOKEN_FILE = "token-file";
  static final String OUTPUT = "output";
  static final String TIMEOUT_MILLIS = "timeout-millis";
  static final String HELP = "help";

  /** The environment variable that holds the routers' addresses. */
  static final String ROUTER_VARIABLE = "COLTSFOOTVALE_ROUTER";

  /** The environment variable that holds the credential. */
  static final String TOKEN_VARIABLE = "COLTSFOOTVALE_TOKEN";

  private CommonOptions() {}

  /** Returns the common options and those of a command. */
  static Options with(Command command) {
    Options options = new Options();
    options.addOption(
        value(ROUTER, "url[,url]", "addresses of routers, tried in order; $" + ROUTER_VARIABLE));
    options.addOption(
        value(TOKEN, "text", "operator token or organisation key; $" + TOKEN_VARIABLE));
    options.addOption(value(TOKEN_FILE, "file", "a file that holds the token or key"));
    options.addOption(value(OUTPUT, "text|json", "the form of the output, text by default"));
    options.addOption(
        value(TIMEOUT_MILLIS, "n", "how long to wait for an answer, 10000 by default"));
    options.addOption(Option.builder("h").longOpt(HELP).desc("shows this help").get());
    command.options().forEach(options::addOption);
    return options;
  }

  /** Returns an option that takes a value. */
  static Option value(String name, String valueName, String description) {
    return Option.builder().longOpt(name).hasArg().argName(valueName).desc(description).get();
  }

  /** Returns an option without a value. */
  static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }
}
