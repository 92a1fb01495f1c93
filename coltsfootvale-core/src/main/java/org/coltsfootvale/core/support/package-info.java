/** Utilities for argument checks, hashing, JSON, futures and rate limits. */
@NullMarked
package org.coltsfootvale.core.support;

import org.jspecify.annotations.NullMarked;
