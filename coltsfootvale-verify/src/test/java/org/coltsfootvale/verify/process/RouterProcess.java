package org.coltsfootvale.verify.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.coltsfootvale.router.RouterMain;

/** Router in a child process, with the signals that cause failures. */
final class RouterProcess {

  private static final long STOP_SECONDS = 60;

  private final String id;
  private final int callerPort;
  private final Path settings;
  private final File log;
  private Process process;

  private RouterProcess(String id, int callerPort, Path settings, File log) throws IOException {
    this.id = id;
    this.callerPort = callerPort;
    this.settings = settings;
    this.log = log;
    this.process = launch();
  }

  /** Starts a router with a settings file. */
  static RouterProcess start(String id, int callerPort, Path settings) throws IOException {
    File log = settings.resolveSibling(id + ".log").toFile();
    return new RouterProcess(id, callerPort, settings, log);
  }

  private Process launch() throws IOException {
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    return new ProcessBuilder(
            java.toString(),
            "-Xmx128m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            RouterMain.class.getName(),
            "--settings",
            settings.toString())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        .start();
  }

  String id() {
    return id;
  }

  /** Returns the base URL for callers and operators. */
  String url() {
    return "http://127.0.0.1:" + callerPort;
  }

  /** Kills the process without a graceful shutdown and waits for its exit. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
  }

  /** Requests a graceful shutdown of the process. */
  void terminate() {
    process.destroy();
  }

  /** Waits up to 60 s for the process to exit; returns whether it did. */
  boolean awaitExit() throws InterruptedException {
    return process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Suspends the process with SIGSTOP. */
  void suspend() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Starts a new process at the same addresses, with empty memory. */
  void restart() throws IOException {
    process = launch();
  }

  /** Returns the log output so far. */
  String log() throws IOException {
    return Files.readString(log.toPath());
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
  }
}
