package org.coltsfootvale.testkit.support;

import io.javalin.http.Context;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/** Closes or silences the connections that carry requests. Thread-safe. */
final class Connections {

  private final Set<EndPoint> silent =
      Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

  /** Closes the connection of a request without sending an answer. */
  static void close(Context ctx) {
    endPoint(ctx).close();
  }

  /** Silences the connection of a request permanently. */
  void silence(Context ctx) {
    silent.add(endPoint(ctx));
  }

  /** Returns whether the connection of a request is silent. */
  boolean isSilent(Context ctx) {
    return silent.contains(endPoint(ctx));
  }

  private static EndPoint endPoint(Context ctx) {
    return Request.getBaseRequest(ctx.req()).getHttpChannel().getEndPoint();
  }
}
