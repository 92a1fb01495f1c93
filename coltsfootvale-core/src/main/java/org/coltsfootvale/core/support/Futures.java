package org.coltsfootvale.core.support;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;

/** Utility methods for futures. */
public final class Futures {

  private Futures() {}

  /**
   * Continues with another future after success as well as failure.
   *
   * @param future the future to wait for
   * @param next receives the result, or null and the failure, and returns the future to continue
   *     with
   * @return a future that completes like the one returned by {@code next}, or fails if {@code next}
   *     throws
   */
  @SuppressWarnings("FutureReturnValueIgnored")
  public static <T, R> CompletableFuture<R> compose(
      CompletableFuture<T> future,
      BiFunction<@Nullable T, @Nullable Throwable, CompletableFuture<R>> next) {
    return future
        .handle((result, failure) -> next.apply(result, failure))
        .thenCompose(inner -> inner);
  }
}
