package org.coltsfootvale.router;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.core.settings.SettingsException;
import org.coltsfootvale.core.settings.SettingsReader;
import org.coltsfootvale.router.lifecycle.RouterServer;
import org.coltsfootvale.router.logging.LogSetup;
import org.coltsfootvale.router.wiring.DaggerRouterComponent;

/** Reads the settings, starts the server and stops it at the shutdown of the process. */
final class RouterDaemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final String USAGE = "usage: coltsfootvale-router --settings FILE";

  private RouterDaemon() {}

  /** Starts the daemon; returns 0, or the exit code if it did not start. */
  static int run(String[] args, PrintStream err) {
    RouterSettings settings;
    try {
      settings = readSettings(args);
    } catch (ParseException e) {
      err.println(e.getMessage());
      err.println(USAGE);
      return EXIT_USAGE;
    } catch (SettingsException e) {
      err.println("Invalid settings: " + e.getMessage());
      return EXIT_USAGE;
    } catch (IOException e) {
      err.println("Cannot read the settings file: " + e.getMessage());
      return EXIT_USAGE;
    }
    LogSetup.apply(settings);
    try {
      RouterServer server = DaggerRouterComponent.factory().create(settings).server();
      server.start();
      Runtime.getRuntime().addShutdownHook(new Thread(server::stopGracefully, "shutdown"));
      return 0;
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("failed to start the router");
      return EXIT_FAILED;
    }
  }

  private static RouterSettings readSettings(String[] args) throws ParseException, IOException {
    Options options = new Options();
    options.addOption(
        Option.builder("s")
            .longOpt("settings")
            .hasArg()
            .argName("FILE")
            .required()
            .desc("the settings in YAML")
            .get());
    CommandLine line = new DefaultParser().parse(options, args);
    String text = Files.readString(Path.of(line.getOptionValue("settings")));
    return new SettingsReader().read(text);
  }
}
