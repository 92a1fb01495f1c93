package org.coltsfootvale.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.Option;
import org.coltsfootvale.core.error.ColtsfootvaleException;
import org.coltsfootvale.core.replay.ReplayReport;
import org.coltsfootvale.core.replay.TraceReplay;

/**
 * Replays a recorded trace through the decision logic and compares the outcomes with those it
 * states.
 */
final class ReplayCommand implements Command {

  @Override
  public String name() {
    return "replay";
  }

  @Override
  public String summary() {
    return "replays a trace and compares what happens with what the trace states";
  }

  @Override
  public String arguments() {
    return "TRACE";
  }

  @Override
  public List<Option> options() {
    return List.of();
  }

  @Override
  public List<String> examples() {
    return List.of("coltsfootvale replay coltsfootvale-verify/src/main/traces/release-notes.jsonl");
  }

  @Override
  public ExitCode run(Invocation invocation) {
    String file = invocation.argument("the path of a trace in JSON Lines");
    ReplayReport report = replay(file, invocation.readFile(file));
    invocation.output().printResult(json(report), describe(file, report));
    return report.passed() ? ExitCode.OK : ExitCode.MISMATCHED;
  }

  private static ReplayReport replay(String file, String trace) {
    try {
      return new TraceReplay().replay(trace.lines().toList());
    } catch (ColtsfootvaleException e) {
      throw CliException.invalidFile(
          "%s: %s".formatted(file, e.getMessage()), "Correct the line and replay the trace again.");
    }
  }

  private static ObjectNode json(ReplayReport report) {
    ObjectNode node = Output.object().put("events", report.events());
    node.put("checked", report.outcomesChecked());
    ArrayNode mismatches = node.putArray("mismatches");
    for (ReplayReport.Mismatch mismatch : report.mismatches()) {
      mismatches
          .addObject()
          .put("line", mismatch.line())
          .put("event", mismatch.event())
          .put("expected", mismatch.expected())
          .put("actual", mismatch.actual());
    }
    return node;
  }

  private static String describe(String file, ReplayReport report) {
    List<String> lines = new ArrayList<>();
    for (ReplayReport.Mismatch mismatch : report.mismatches()) {
      lines.add(
          "%s:%d: expected '%s', but was '%s'"
              .formatted(file, mismatch.line(), mismatch.expected(), mismatch.actual()));
    }
    lines.add(
        "%d events, %d outcomes checked, %d differ"
            .formatted(report.events(), report.outcomesChecked(), report.mismatches().size()));
    return String.join("\n", lines);
  }
}
