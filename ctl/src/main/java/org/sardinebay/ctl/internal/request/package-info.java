/** The commands of operators: each lives for one call of the program. */
package org.sardinebay.ctl.internal.request;
