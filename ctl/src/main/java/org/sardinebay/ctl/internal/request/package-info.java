/** The operators' commands. A command object serves one run of the program. */
package org.sardinebay.ctl.internal.request;
