/** The edge towards endpoints: the calls a database member takes and the replies it gives. */
package org.sardinebay.endpoint;
