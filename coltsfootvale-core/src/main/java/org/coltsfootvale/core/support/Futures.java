package org.coltsfootvale.core.support;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;

/** Helpers for futures. */
public final class Futures {

  private Futures() {}

  /**
   * Goes on with another future after success and after failure alike.
   *
   * @param future the future to wait for
   * @param next takes the result, or null and the failure, and gives the future to go on with
   * @return completes like the future that {@code next} gives, or fails if {@code next} throws
   */
  @SuppressWarnings("FutureReturnValueIgnored")
  public static <T, R> CompletableFuture<R> compose(
      CompletableFuture<T> future,
      BiFunction<@Nullable T, @Nullable Throwable, CompletableFuture<R>> next) {
    return future.handle((result, failure) -> next.apply(result, failure)).thenCompose(f -> f);
  }
}
