/** Fleet-wide limits per organisation, enforced by shares of each router. */
@NullMarked
package org.coltsfootvale.core.admission;

import org.jspecify.annotations.NullMarked;
