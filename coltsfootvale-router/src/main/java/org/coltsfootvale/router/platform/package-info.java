/** Clients of the platform's key-value service, weight store and host list. */
@NullMarked
package org.coltsfootvale.router.platform;

import org.jspecify.annotations.NullMarked;
