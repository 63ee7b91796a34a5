/** The program {@code sardinebayctl}, the operators' command line. */
package org.sardinebay.ctl;
