package org.coltsfootvale.router.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** Qualifies the supplier of random delays in milliseconds that desynchronise routers. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface Jitter {}
