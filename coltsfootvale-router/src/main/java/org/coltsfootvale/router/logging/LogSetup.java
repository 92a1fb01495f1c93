package org.coltsfootvale.router.logging;

import java.util.Locale;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.coltsfootvale.core.settings.RouterSettings;

/** Configures format and level of the process's log, which is written to standard error. */
public final class LogSetup {

  private static final Logger ROOT = Logger.getLogger("");
  private static final Logger APPLICATION = Logger.getLogger("org.coltsfootvale");

  private LogSetup() {}

  /** Applies the settings; libraries log at level WARNING or above. */
  public static void apply(RouterSettings settings) {
    Level level = Level.parse(settings.logging().level().toUpperCase(Locale.ROOT));
    ConsoleHandler console = new ConsoleHandler();
    console.setFormatter(formatter(settings));
    console.setLevel(level);
    replaceHandlers(console, level);
  }

  /** Replaces all root handlers by one; libraries log at level WARNING or above. */
  static void replaceHandlers(Handler handler, Level applicationLevel) {
    for (Handler existing : ROOT.getHandlers()) {
      ROOT.removeHandler(existing);
    }
    ROOT.addHandler(handler);
    ROOT.setLevel(Level.WARNING);
    APPLICATION.setLevel(applicationLevel);
  }

  private static Formatter formatter(RouterSettings settings) {
    String router = settings.router().id().value();
    return settings.logging().format().equals("json")
        ? new JsonFormatter(router)
        : new TextFormatter(router);
  }
}
