/** The operators' command-line tool {@code sardinebayctl}. */
package org.sardinebay.ctl;
