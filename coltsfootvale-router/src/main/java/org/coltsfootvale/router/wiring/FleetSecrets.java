package org.coltsfootvale.router.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** Qualifies the shared secrets of the fleet; the first one signs. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface FleetSecrets {}
