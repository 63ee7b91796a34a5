/** The command line, record files and errors as operators see them. */
package org.sardinebay.ctl.internal.process;
