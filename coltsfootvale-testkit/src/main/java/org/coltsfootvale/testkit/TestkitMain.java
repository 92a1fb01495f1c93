package org.coltsfootvale.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.ParseException;
import org.coltsfootvale.testkit.caller.CallersProgram;
import org.coltsfootvale.testkit.caller.Plan;
import org.coltsfootvale.testkit.engine.EngineOptions;
import org.coltsfootvale.testkit.engine.EngineStandIn;
import org.coltsfootvale.testkit.platform.PlatformOptions;
import org.coltsfootvale.testkit.platform.PlatformStandIn;
import org.coltsfootvale.testkit.service.ServiceStandIn;
import org.coltsfootvale.testkit.support.StandInServer;

/** Runs a stand-in server until the process is terminated, or the load program to its end. */
public final class TestkitMain {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_VIOLATIONS = 1;
  private static final List<Logger> LIBRARY_LOGGERS =
      List.of(Logger.getLogger("io.javalin"), Logger.getLogger("org.eclipse.jetty"));
  private static final String USAGE =
      """
      Usage: testkit platform|engine|service|callers [options]
        platform --port N [--writes-per-second 400] [--reads-per-second 2000]
                 [--weight-writes-per-second 2] [--hosts-lag-millis 2000]
        engine   --port N [--id engine] [--incarnation 1] [--capacity 64] [--batch 16]
                 [--prefill 8000] [--decode 60] [--cache-tokens 200000]
                 [--import 100000] [--load-lag-millis 500] [--event-lag-millis 1000]
                 [--event-gap-every 50] [--fencing true] [--time-scale 1]
        service  --port N [--id service] [--work-millis 5]
        callers  --plan FILE --entry http://ip:port[,...] [--operator-token TEXT]
                 [--duration-seconds N]
      Port 0 takes any free port; the bound one is printed.
      """;

  private TestkitMain() {}

  /** Runs the program named by the first argument. */
  public static void main(String[] arguments) throws InterruptedException {
    reduceLibraryLogging();
    if (arguments.length == 0) {
      exitWithUsage("a program is missing");
      return;
    }
    String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
    try {
      run(arguments[0], rest);
    } catch (ParseException e) {
      exitWithUsage(String.valueOf(e.getMessage()));
    }
  }

  private static void run(String program, String[] arguments)
      throws ParseException, InterruptedException {
    switch (program) {
      case "platform" -> serve(platform(arguments));
      case "engine" -> serve(engine(arguments));
      case "service" -> serve(service(arguments));
      case "callers" -> runCallers(arguments);
      case "--help", "help" -> System.out.print(USAGE);
      default -> throw new ParseException("there is no program '" + program + "'");
    }
  }

  private static StandInServer platform(String[] arguments) throws ParseException {
    CommandLineOptions options =
        new CommandLineOptions(
            arguments,
            "port",
            "writes-per-second",
            "reads-per-second",
            "weight-writes-per-second",
            "hosts-lag-millis");
    PlatformOptions defaults = PlatformOptions.onPort(options.integer("port", 0));
    return new PlatformStandIn(
        new PlatformOptions(
            defaults.port(),
            options.number("writes-per-second", defaults.writesPerSecond()),
            options.number("reads-per-second", defaults.readsPerSecond()),
            options.number("weight-writes-per-second", defaults.weightWritesPerSecond()),
            options.integer("hosts-lag-millis", (int) defaults.hostsLagMillis())),
        InstantSource.system());
  }

  private static StandInServer engine(String[] arguments) throws ParseException {
    CommandLineOptions options =
        new CommandLineOptions(
            arguments,
            "port",
            "id",
            "incarnation",
            "capacity",
            "batch",
            "prefill",
            "decode",
            "cache-tokens",
            "import",
            "load-lag-millis",
            "event-lag-millis",
            "event-gap-every",
            "fencing",
            "time-scale");
    EngineOptions defaults =
        EngineOptions.of(options.text("id", "engine"), options.integer("port", 0));
    return new EngineStandIn(
        new EngineOptions(
            defaults.id(),
            defaults.port(),
            (long) options.number("incarnation", (double) defaults.incarnation()),
            options.integer("capacity", defaults.capacityRequests()),
            options.integer("batch", defaults.batchRequests()),
            options.number("prefill", defaults.prefillTokensPerSecond()),
            options.number("decode", defaults.decodeTokensPerSecond()),
            (long) options.number("cache-tokens", (double) defaults.cacheTokens()),
            options.number("import", defaults.importTokensPerSecond()),
            (long) options.number("load-lag-millis", (double) defaults.loadLagMillis()),
            (long) options.number("event-lag-millis", (double) defaults.eventLagMillis()),
            options.integer("event-gap-every", defaults.eventGapEvery()),
            options.bool("fencing", defaults.checksFencing()),
            options.number("time-scale", defaults.timeScale())),
        InstantSource.system());
  }

  private static StandInServer service(String[] arguments) throws ParseException {
    CommandLineOptions options = new CommandLineOptions(arguments, "port", "id", "work-millis");
    return new ServiceStandIn(
        options.text("id", "service"),
        options.integer("port", 0),
        options.integer("work-millis", 5));
  }

  private static void runCallers(String[] arguments) throws ParseException, InterruptedException {
    CommandLineOptions options =
        new CommandLineOptions(arguments, "plan", "entry", "operator-token", "duration-seconds");
    Plan plan = readPlan(options.text("plan", ""));
    int seconds = options.integer("duration-seconds", plan.durationSeconds());
    List<String> entry = List.of(options.text("entry", "").split(",", -1));
    String token = options.text("operator-token", "");
    long violations =
        new CallersProgram(
                plan.withDurationSeconds(seconds),
                entry,
                token.isEmpty() ? Optional.empty() : Optional.of(token),
                System.out)
            .run();
    if (violations > 0) {
      System.exit(EXIT_VIOLATIONS);
    }
  }

  private static Plan readPlan(String file) throws ParseException {
    try {
      return Plan.read(Files.readString(Path.of(file)));
    } catch (IOException | IllegalArgumentException e) {
      throw new ParseException("--plan '" + file + "': " + e.getMessage());
    }
  }

  private static void serve(StandInServer server) throws InterruptedException {
    server.start();
    System.out.println("listening on " + server.url());
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  server.stop();
                  stopped.countDown();
                }));
    stopped.await();
  }

  private static void reduceLibraryLogging() {
    LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(Level.WARNING));
  }

  private static void exitWithUsage(String problem) {
    System.err.println(problem);
    System.err.print(USAGE);
    System.exit(EXIT_USAGE);
  }
}
