package org.coltsfootvale.router.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** Qualifies a random seed that differs between processes. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface Seed {}
