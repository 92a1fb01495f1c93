/** Admission control: fleet-wide limits per organisation, enforced by each router for its share. */
@NullMarked
package org.coltsfootvale.core.admission;

import org.jspecify.annotations.NullMarked;
