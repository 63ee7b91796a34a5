/** The interface to endpoints: the calls to a database member and its replies. */
package org.sardinebay.endpoint;
