/**
 * Measures placement, limits and retries: the real decisions against fake engines in virtual time.
 */
@NullMarked
package org.coltsfootvale.verify.policy;

import org.jspecify.annotations.NullMarked;
