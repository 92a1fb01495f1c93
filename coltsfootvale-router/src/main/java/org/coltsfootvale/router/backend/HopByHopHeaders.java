package org.coltsfootvale.router.backend;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import okhttp3.Headers;

/** Removes hop-by-hop headers, which apply to a single connection only. */
public final class HopByHopHeaders {

  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HopByHopHeaders() {}

  /** Returns the headers without hop-by-hop headers and without those listed in Connection. */
  public static Headers remove(Headers headers) {
    Set<String> named = new HashSet<>();
    for (String value : headers.values("Connection")) {
      for (String name : value.split(",", -1)) {
        named.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    Headers.Builder kept = new Headers.Builder();
    for (int i = 0; i < headers.size(); i++) {
      String name = headers.name(i).toLowerCase(Locale.ROOT);
      if (!NAMES.contains(name) && !named.contains(name)) {
        kept.addUnsafeNonAscii(headers.name(i), headers.value(i));
      }
    }
    return kept.build();
  }
}
