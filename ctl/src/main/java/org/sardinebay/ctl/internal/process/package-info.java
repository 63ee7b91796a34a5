/** Parses the command line, builds the commands and prints failures. */
package org.sardinebay.ctl.internal.process;
