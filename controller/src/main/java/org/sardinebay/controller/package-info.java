/** The entry point of the {@code sardinebay-controller} program. */
package org.sardinebay.controller;
