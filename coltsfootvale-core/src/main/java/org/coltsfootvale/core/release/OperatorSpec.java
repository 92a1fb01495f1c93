package org.coltsfootvale.core.release;

/**
 * An operator who may submit release notes and read state.
 *
 * @param id the operator's name
 * @param tokenHash SHA-256 of the token in lower-case hexadecimal
 */
public record OperatorSpec(String id, String tokenHash) {}
