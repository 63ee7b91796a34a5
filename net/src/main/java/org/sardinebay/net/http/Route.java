package org.sardinebay.net.http;

import io.activej.http.HttpMethod;

/**
 * Binds a method and a path to a handler.
 *
 * @param method the HTTP method
 * @param path the path; a trailing {@code /*} matches any rest
 * @param handler what answers
 */
public record Route(HttpMethod method, String path, HttpHandler handler) {
  /**
   * A route for GET.
   *
   * @param path the path
   * @param handler what answers
   * @return the route
   */
  public static Route get(String path, HttpHandler handler) {
    return new Route(HttpMethod.GET, path, handler);
  }

  /**
   * A route for POST.
   *
   * @param path the path
   * @param handler what answers
   * @return the route
   */
  public static Route post(String path, HttpHandler handler) {
    return new Route(HttpMethod.POST, path, handler);
  }

  /**
   * A route for PUT.
   *
   * @param path the path
   * @param handler what answers
   * @return the route
   */
  public static Route put(String path, HttpHandler handler) {
    return new Route(HttpMethod.PUT, path, handler);
  }

  /**
   * A route for DELETE.
   *
   * @param path the path
   * @param handler what answers
   * @return the route
   */
  public static Route delete(String path, HttpHandler handler) {
    return new Route(HttpMethod.DELETE, path, handler);
  }
}
