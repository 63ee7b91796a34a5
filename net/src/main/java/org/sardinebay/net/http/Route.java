package org.sardinebay.net.http;

import io.activej.http.HttpMethod;

/**
 * Maps an HTTP method and a path to a handler.
 *
 * @param method the HTTP method
 * @param path the path; a trailing {@code /*} matches any suffix
 * @param handler the request handler
 */
public record Route(HttpMethod method, String path, HttpHandler handler) {
  /**
   * Creates a route for GET.
   *
   * @param path the path
   * @param handler the request handler
   * @return the route
   */
  public static Route get(String path, HttpHandler handler) {
    return new Route(HttpMethod.GET, path, handler);
  }

  /**
   * Creates a route for POST.
   *
   * @param path the path
   * @param handler the request handler
   * @return the route
   */
  public static Route post(String path, HttpHandler handler) {
    return new Route(HttpMethod.POST, path, handler);
  }

  /**
   * Creates a route for PUT.
   *
   * @param path the path
   * @param handler the request handler
   * @return the route
   */
  public static Route put(String path, HttpHandler handler) {
    return new Route(HttpMethod.PUT, path, handler);
  }

  /**
   * Creates a route for DELETE.
   *
   * @param path the path
   * @param handler the request handler
   * @return the route
   */
  public static Route delete(String path, HttpHandler handler) {
    return new Route(HttpMethod.DELETE, path, handler);
  }
}
