/** The program {@code sardinebay-controller}. */
package org.sardinebay.controller;
