package org.coltsfootvale.verify.spec;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.coltsfootvale.core.support.Checks;

/** Runs TLC on a specification, in a separate Java process since TLC keeps static state. */
public final class ModelChecker {

  private static final Pattern VIOLATED_INVARIANT = Pattern.compile("Invariant (\\w+) is violated");
  private static final Pattern INVARIANTS_LINE = Pattern.compile("(?m)^INVARIANTS (.*)$");
  private static final Pattern DISTINCT_STATES =
      Pattern.compile("([0-9]+) distinct states found, 0");
  private static final String NO_ERROR = "No error has been found";
  private static final String CONFIGURATION_FILE = "check.cfg";
  private static final String HEAP_OPTION = "-Xmx1g";
  private static final String WORKERS = "2";

  private final Path directory;

  /** Creates a checker for the specifications in a directory. */
  public ModelChecker(Path directory) {
    this.directory = directory.toAbsolutePath();
  }

  /**
   * Checks all invariants of a configuration in every reachable state.
   *
   * @param module the name of the module file without its suffix
   * @param configuration the name of the configuration file without its suffix
   * @param constants values that replace those of the configuration, by constant
   * @throws IllegalArgumentException if the configuration lacks one of the constants
   */
  public CheckResult check(String module, String configuration, Map<String, String> constants) {
    return checkConfiguration(module, replaceConstants(read(configuration), constants));
  }

  /**
   * Checks one invariant of a configuration. If a change of the constants violates several
   * invariants, the one that TLC reports depends on the order in which its workers reach the
   * states.
   *
   * @param module the name of the module file without its suffix
   * @param configuration the name of the configuration file without its suffix
   * @param constants values that replace those of the configuration, by constant
   * @param invariant the only invariant to check
   * @throws IllegalArgumentException if the configuration lacks one of the constants or the
   *     invariant
   */
  public CheckResult checkInvariant(
      String module, String configuration, Map<String, String> constants, String invariant) {
    return checkConfiguration(
        module, selectInvariant(replaceConstants(read(configuration), constants), invariant));
  }

  private String read(String configuration) {
    try {
      return Files.readString(directory.resolve(configuration + ".cfg"));
    } catch (IOException e) {
      throw new IllegalStateException("the configuration " + configuration + " cannot be read", e);
    }
  }

  private CheckResult checkConfiguration(String module, String text) {
    try {
      Path work = Files.createTempDirectory("model-check");
      try {
        copyModules(work);
        Files.writeString(work.resolve(CONFIGURATION_FILE), text);
        return parseResult(runTlc(module, work));
      } finally {
        deleteRecursively(work);
      }
    } catch (IOException e) {
      throw new IllegalStateException("the specification " + module + " cannot be checked", e);
    }
  }

  private static String selectInvariant(String text, String invariant) {
    Matcher line = INVARIANTS_LINE.matcher(text);
    Checks.argument(
        line.find() && List.of(line.group(1).split(" ")).contains(invariant),
        "the configuration has no invariant %s",
        invariant);
    return text.substring(0, line.start(1)) + invariant + text.substring(line.end(1));
  }

  private static String replaceConstants(String text, Map<String, String> constants) {
    String replaced = text;
    for (Map.Entry<String, String> constant : constants.entrySet()) {
      Pattern line = Pattern.compile("(?m)^  " + Pattern.quote(constant.getKey()) + " = .*$");
      Matcher matcher = line.matcher(replaced);
      Checks.argument(matcher.find(), "the configuration has no constant %s", constant.getKey());
      replaced = matcher.replaceAll("  " + constant.getKey() + " = " + constant.getValue());
    }
    return replaced;
  }

  private void copyModules(Path work) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".tla")).toList()) {
        Files.copy(file, work.resolve(file.getFileName()));
      }
    }
  }

  private static String runTlc(String module, Path work) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                HEAP_OPTION,
                "-XX:+UseParallelGC",
                "-cp",
                libraryPath(),
                "tlc2.TLC",
                "-workers",
                WORKERS,
                "-metadir",
                "states",
                "-config",
                CONFIGURATION_FILE,
                module + ".tla"));
    Process process = builder.directory(work.toFile()).redirectErrorStream(true).start();
    try (var output = process.getInputStream()) {
      return new String(output.readAllBytes(), StandardCharsets.UTF_8);
    } finally {
      process.destroy();
    }
  }

  private static CheckResult parseResult(String output) {
    Matcher invariant = VIOLATED_INVARIANT.matcher(output);
    Matcher distinct = DISTINCT_STATES.matcher(output);
    return new CheckResult(
        output.contains(NO_ERROR),
        invariant.find() ? invariant.group(1) : null,
        distinct.find() ? Long.parseLong(distinct.group(1)) : 0,
        output);
  }

  private static String libraryPath() {
    try {
      return Path.of(tlc2.TLC.class.getProtectionDomain().getCodeSource().getLocation().toURI())
          .toString();
    } catch (URISyntaxException e) {
      throw new IllegalStateException("the class path entry of TLC is not a valid URI", e);
    }
  }

  private static void deleteRecursively(Path directory) throws IOException {
    try (Stream<Path> paths = Files.walk(directory)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}
