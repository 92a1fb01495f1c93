package org.coltsfootvale.router.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** Draws a delay in milliseconds that spreads routers. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface Jitter {}
