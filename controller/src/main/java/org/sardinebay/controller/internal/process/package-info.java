/** The controller process: components that live as long as the process. */
package org.sardinebay.controller.internal.process;
