/** Test stand-ins for the systems around sardinebay, and the driver that tests with them. */
package org.sardinebay.standins;
