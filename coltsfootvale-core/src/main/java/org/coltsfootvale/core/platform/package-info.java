/** Asynchronous interfaces to the platform's services, independent of their transport. */
@NullMarked
package org.coltsfootvale.core.platform;

import org.jspecify.annotations.NullMarked;
