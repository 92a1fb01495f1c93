package org.coltsfootvale.router.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** The fleet's shared secrets, the one to sign with first. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface FleetSecrets {}
