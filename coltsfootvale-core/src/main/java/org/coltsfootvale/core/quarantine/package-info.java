/** Recognises prompt parts that crash replicas, and keeps requests with them from replicas. */
@NullMarked
package org.coltsfootvale.core.quarantine;

import org.jspecify.annotations.NullMarked;
