package org.apricotstand.front;

/** Leaves a request in progress, until the test answers it. */
final class UnfinishedCall implements CallHandler.ActiveCall {

  @Override
  public void onCallerDisconnected() {}

  @Override
  public void onCallerWritable() {}
}
