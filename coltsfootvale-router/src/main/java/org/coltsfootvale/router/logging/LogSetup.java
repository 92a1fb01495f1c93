package org.coltsfootvale.router.logging;

import java.util.Locale;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.coltsfootvale.core.settings.RouterSettings;

/** Sets the form and the level of all log lines of the process; they go to standard error. */
public final class LogSetup {

  private static final Logger ROOT = Logger.getLogger("");
  private static final Logger PRODUCT = Logger.getLogger("org.coltsfootvale");

  private LogSetup() {}

  /** Applies the settings; libraries log warnings only. */
  public static void apply(RouterSettings settings) {
    Level level = Level.parse(settings.logging().level().toUpperCase(Locale.ROOT));
    ConsoleHandler console = new ConsoleHandler();
    console.setFormatter(formatter(settings));
    console.setLevel(level);
    replaceHandlers(console, level);
  }

  /** Makes a handler the only one of the process; libraries log warnings only. */
  static void replaceHandlers(Handler handler, Level productLevel) {
    for (Handler before : ROOT.getHandlers()) {
      ROOT.removeHandler(before);
    }
    ROOT.addHandler(handler);
    ROOT.setLevel(Level.WARNING);
    PRODUCT.setLevel(productLevel);
  }

  private static Formatter formatter(RouterSettings settings) {
    String router = settings.router().id().value();
    return settings.logging().format().equals("json")
        ? new JsonFormatter(router)
        : new TextFormatter(router);
  }
}
