/** A stand-in of a model engine with continuous batching and a limited prefix cache. */
@NullMarked
package org.coltsfootvale.testkit.engine;

import org.jspecify.annotations.NullMarked;
