/**
 * Execution of requests: admission, placement, attempts, retries, resumes, deadlines and outcomes.
 */
@NullMarked
package org.coltsfootvale.router.request;

import org.jspecify.annotations.NullMarked;
