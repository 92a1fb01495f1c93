/** Replays generated load against the quarantine of prompt parts that crash replicas. */
@NullMarked
package org.coltsfootvale.verify.quarantine;

import org.jspecify.annotations.NullMarked;
