/** The program {@code sardinebay-ctl}. */
package org.sardinebay.ctl;
