package org.sardinebay.standins.driver;

/** The kinds of process in a deployment, each with its main class. */
enum ProcessKind {
  RELAY("org.sardinebay.standins.relay.RelayMain"),
  PLATFORM("org.sardinebay.standins.platform.PlatformMain"),
  ENDPOINT("org.sardinebay.standins.endpoint.EndpointMain"),
  CONTROLLER("org.sardinebay.controller.ControllerMain"),
  PROXY("org.sardinebay.proxy.ProxyMain");

  private final String mainClass;

  ProcessKind(String mainClass) {
    this.mainClass = mainClass;
  }

  String mainClass() {
    return mainClass;
  }
}
