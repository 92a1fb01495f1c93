package org.coltsfootvale.core.support;

import java.net.URI;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Argument checks whose messages contain the argument's name, its value and the accepted values.
 */
public final class Checks {

  private static final int IDENTIFIER_LENGTH_MAX = 128;
  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9._:-]+");

  private Checks() {}

  /**
   * Checks a condition on an argument.
   *
   * @throws IllegalArgumentException with the formatted message if the condition is false
   */
  public static void argument(boolean condition, String format, Object... arguments) {
    if (!condition) {
      throw new IllegalArgumentException(String.format(Locale.ROOT, format, arguments));
    }
  }

  /**
   * Checks an identifier and returns it.
   *
   * @throws IllegalArgumentException if it is empty, too long or contains characters other than
   *     letters, digits, '.', '_', ':' and '-'
   */
  public static String identifier(String value, String name) {
    argument(
        !value.isEmpty() && value.length() <= IDENTIFIER_LENGTH_MAX,
        "%s must have 1 to %d characters, but has %d",
        name,
        IDENTIFIER_LENGTH_MAX,
        value.length());
    argument(
        IDENTIFIER.matcher(value).matches(),
        "%s '%s' may hold only letters, digits, '.', '_', ':' and '-'",
        name,
        value);
    return value;
  }

  /**
   * Checks that a number is within a closed range and returns it.
   *
   * @throws IllegalArgumentException if it is outside
   */
  public static double range(double value, double min, double max, String name) {
    argument(
        value >= min && value <= max, "%s must be in %s..%s, but is %s", name, min, max, value);
    return value;
  }

  /**
   * Checks that a URL is absolute and uses HTTP or HTTPS, and returns it.
   *
   * @throws IllegalArgumentException if it does not
   */
  public static URI httpUrl(URI value, String name) {
    boolean http = "http".equals(value.getScheme()) || "https".equals(value.getScheme());
    argument(
        http && value.getHost() != null,
        "%s must be an address such as http://10.0.0.1:2379, but is %s",
        name,
        value);
    return value;
  }
}
