package org.coltsfootvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import okhttp3.HttpUrl;
import org.apache.commons.cli.Option;

/** The commands for release notes. */
final class NoteCommands {

  private static final String FILE = "the path of a release note";
  private static final long WAIT_MILLIS_DEFAULT = 30_000;
  private static final long WAIT_MILLIS_MAX = 3_600_000;
  private static final long POLL_MILLIS = 200;
  private static final long HISTORY_LIMIT_DEFAULT = 100;
  private static final long HISTORY_LIMIT_MAX = 1_000;

  private NoteCommands() {}

  /** Returns all commands for release notes. */
  static List<Command> all() {
    return List.of(check(), submit(), status(), history());
  }

  private static Command check() {
    return new SimpleCommand(
        "note check",
        "checks a release note against the fleet's state and changes nothing",
        "FILE",
        List.of(),
        List.of("coltsfootvale note check season.yaml"),
        NoteCommands::runCheck);
  }

  private static Command submit() {
    return new SimpleCommand(
        "note submit",
        "submits a release note; submitting the same note again is safe",
        "FILE",
        List.of(
            CommonOptions.flag("wait", "waits until the note is in force on every router"),
            CommonOptions.value("wait-millis", "n", "how long to wait, 30000 by default")),
        List.of(
            "coltsfootvale note submit season.yaml",
            "coltsfootvale note submit --wait --wait-millis 8000 season.yaml"),
        NoteCommands::runSubmit);
  }

  private static Command status() {
    return new SimpleCommand(
        "note status",
        "shows on which routers a release note is in force",
        "ID",
        List.of(
            CommonOptions.flag("wait", "waits until it is in force on every router"),
            CommonOptions.value("wait-millis", "n", "how long to wait, 30000 by default")),
        List.of(
            "coltsfootvale note status season-2027",
            "coltsfootvale note status --wait season-2027"),
        NoteCommands::runStatus);
  }

  private static Command history() {
    List<Option> options =
        List.of(
            CommonOptions.value("from", "revision", "the first revision, 1 by default"),
            CommonOptions.value("limit", "n", "how many notes at most, 100 by default"));
    return new SimpleCommand(
        "note history",
        "lists the accepted release notes",
        "",
        options,
        List.of("coltsfootvale note history --from 120 --limit 20"),
        NoteCommands::runHistory);
  }

  private static ExitCode runCheck(Invocation invocation) {
    String note = invocation.readFile(invocation.argument(FILE));
    try (RouterClient client = invocation.client()) {
      JsonNode answer = client.post("/v1/notes?check=true", note);
      List<String> lines = new ArrayList<>();
      lines.add("%s is valid; it would".formatted(answer.path("id").asText()));
      answer.path("changes").forEach(change -> lines.add("  " + change.asText()));
      invocation.output().printResult(answer, String.join("\n", lines));
      return ExitCode.OK;
    }
  }

  private static ExitCode runSubmit(Invocation invocation) {
    String note = invocation.readFile(invocation.argument(FILE));
    try (RouterClient client = invocation.client()) {
      JsonNode answer = client.post("/v1/notes", note);
      String id = answer.path("id").asText();
      String text = "%s is accepted as revision %d".formatted(id, answer.path("revision").asLong());
      if (!invocation.flag("wait")) {
        invocation.output().printResult(answer, text);
        return ExitCode.OK;
      }
      invocation.output().printNotice(text);
      return showStatus(invocation, client, id);
    }
  }

  private static ExitCode runStatus(Invocation invocation) {
    String id = invocation.argument("the id of a release note");
    try (RouterClient client = invocation.client()) {
      return showStatus(invocation, client, id);
    }
  }

  private static ExitCode showStatus(Invocation invocation, RouterClient client, String id) {
    boolean wait = invocation.flag("wait");
    long waitMillis = invocation.number("wait-millis", WAIT_MILLIS_DEFAULT, 1, WAIT_MILLIS_MAX);
    JsonNode status = wait ? await(client, id, waitMillis) : readStatus(client, id);
    invocation.output().printResult(status, describe(status));
    boolean inForce = status.path("inForceEverywhere").asBoolean();
    return inForce || !wait ? ExitCode.OK : ExitCode.TIMED_OUT;
  }

  private static JsonNode await(RouterClient client, String id, long waitMillis) {
    long deadlineNanos = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos();
    JsonNode status = readStatus(client, id);
    while (!status.path("inForceEverywhere").asBoolean() && System.nanoTime() - deadlineNanos < 0) {
      pause();
      status = readStatus(client, id);
    }
    return status;
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CliException(
          ExitCode.TIMED_OUT,
          "INTERRUPTED",
          "the wait was interrupted",
          "Ask for the status again.");
    }
  }

  private static JsonNode readStatus(RouterClient client, String id) {
    HttpUrl url = new HttpUrl.Builder().scheme("http").host("router").addPathSegment(id).build();
    return client.get("/v1/notes" + url.encodedPath() + "/status");
  }

  private static String describe(JsonNode status) {
    long revision = status.path("revision").asLong();
    List<String> lines = new ArrayList<>();
    for (JsonNode router : status.path("routers")) {
      long applied = router.path("appliedRevision").asLong();
      lines.add(
          "%-24s %-8s revision %d%s"
              .formatted(
                  router.path("router").asText(),
                  router.path("liveness").asText().toLowerCase(Locale.ROOT),
                  applied,
                  applied < revision ? ", lags" : ""));
    }
    boolean inForce = status.path("inForceEverywhere").asBoolean();
    lines.add(
        "%s, revision %d, is %s"
            .formatted(
                status.path("id").asText(),
                revision,
                inForce ? "in force on every live router" : "not yet in force everywhere"));
    return String.join("\n", lines);
  }

  private static ExitCode runHistory(Invocation invocation) {
    invocation.noArguments();
    long from = invocation.number("from", 1, 1, Long.MAX_VALUE);
    long limit = invocation.number("limit", HISTORY_LIMIT_DEFAULT, 1, HISTORY_LIMIT_MAX);
    try (RouterClient client = invocation.client()) {
      JsonNode answer = client.get("/v1/notes?from=%d&limit=%d".formatted(from, limit));
      List<String> lines = new ArrayList<>();
      for (JsonNode note : answer.path("notes")) {
        lines.add(
            "%8d  %s  %s"
                .formatted(
                    note.path("revision").asLong(),
                    note.path("acceptedAt").asText(),
                    note.path("id").asText()));
      }
      lines.add("%d notes".formatted(answer.path("notes").size()));
      invocation.output().printResult(answer, String.join("\n", lines));
      return ExitCode.OK;
    }
  }
}
