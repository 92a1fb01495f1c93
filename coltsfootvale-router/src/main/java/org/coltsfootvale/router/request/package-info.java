/**
 * One request's course: admission, placement, attempts, retries, resume, deadlines and outcomes.
 */
@NullMarked
package org.coltsfootvale.router.request;

import org.jspecify.annotations.NullMarked;
