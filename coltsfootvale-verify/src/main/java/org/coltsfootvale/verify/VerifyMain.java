package org.coltsfootvale.verify;

/** Starts a measurement, a trace replay or a specification check by its name. */
public final class VerifyMain {

  private VerifyMain() {}

  /** Runs the command named by the first argument. */
  public static void main(String[] args) {
    System.out.println("commands: none yet");
  }
}
