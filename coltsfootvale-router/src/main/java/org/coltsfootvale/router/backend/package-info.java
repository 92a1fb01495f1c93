/** Clients of the backend servers: engines and plain services. */
@NullMarked
package org.coltsfootvale.router.backend;

import org.jspecify.annotations.NullMarked;
