package org.coltsfootvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootvale.core.settings.RouterSettings;
import org.coltsfootvale.core.settings.SettingsException;
import org.coltsfootvale.core.settings.SettingsReader;

/** The commands for routers: entry addresses, state and settings. */
final class RouterCommands {

  private RouterCommands() {}

  /** Returns all commands for routers. */
  static List<Command> all() {
    return List.of(entry(), state(), checkSettings());
  }

  private static Command entry() {
    return new SimpleCommand(
        "entry",
        "shows which routers a caller is to use, and for how long",
        "",
        List.of(),
        List.of("coltsfootvale entry --router http://127.0.0.1:8080"),
        RouterCommands::runEntry);
  }

  private static Command state() {
    return new SimpleCommand(
        "state",
        "shows the state of the first router that answers",
        "",
        List.of(CommonOptions.value("path", "a.b.0", "shows only this part of the state")),
        List.of(
            "coltsfootvale state --token-file operator.token",
            "coltsfootvale state --path release --output json"),
        RouterCommands::runState);
  }

  private static Command checkSettings() {
    return new SimpleCommand(
        "settings check",
        "checks a router's settings file without starting a router",
        "FILE",
        List.of(),
        List.of("coltsfootvale settings check router.yaml"),
        RouterCommands::runCheckSettings);
  }

  private static ExitCode runEntry(Invocation invocation) {
    invocation.noArguments();
    try (RouterClient client = invocation.client()) {
      JsonNode answer = client.get("/v1/entry");
      List<String> lines = new ArrayList<>();
      answer.path("addresses").forEach(address -> lines.add(address.asText()));
      lines.add("keep for %d ms".formatted(answer.path("lifetimeMillis").asLong()));
      if (answer.has("keyPrefix")) {
        lines.add("key prefix " + answer.path("keyPrefix").asText());
      }
      invocation.output().printResult(answer, String.join("\n", lines));
      return ExitCode.OK;
    }
  }

  private static ExitCode runState(Invocation invocation) {
    invocation.noArguments();
    try (RouterClient client = invocation.client()) {
      JsonNode state = client.get("/state");
      Optional<String> path = invocation.option("path");
      JsonNode part = path.map(text -> part(state, text)).orElse(state);
      invocation.output().printResult(part, Output.pretty(part));
      return ExitCode.OK;
    }
  }

  private static JsonNode part(JsonNode state, String path) {
    JsonNode part = state;
    for (String step : path.split("\\.", -1)) {
      part =
          part.isArray() && step.matches("[0-9]{1,6}")
              ? part.path(Integer.parseInt(step))
              : part.path(step);
    }
    if (part.isMissingNode()) {
      List<String> names = new ArrayList<>();
      state.fieldNames().forEachRemaining(names::add);
      throw CliException.usage(
          "the state has no part '%s'".formatted(path),
          "Begin with one of: %s.".formatted(String.join(", ", names)));
    }
    return part;
  }

  private static ExitCode runCheckSettings(Invocation invocation) {
    String file = invocation.argument("the path of a settings file");
    try {
      RouterSettings settings = new SettingsReader().read(invocation.readFile(file));
      String router = settings.router().id().value();
      JsonNode answer = Output.object().put("valid", true).put("router", router);
      invocation.output().printResult(answer, "%s: valid, router %s".formatted(file, router));
      return ExitCode.OK;
    } catch (SettingsException e) {
      throw CliException.invalidFile(
          "%s: %s".formatted(file, e.getMessage()), "Correct the settings and check them again.");
    }
  }
}
